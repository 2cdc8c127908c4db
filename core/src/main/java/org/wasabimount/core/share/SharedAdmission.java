package org.wasabimount.core.share;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;

/**
 * Decides on arrival whether a job of an organisation is accepted, and when the client of a refused one returns.
 *
 * <p>Designed for organisations that together send more than the workers can complete in time, for seconds. Refused first
 * is what exceeds the rate that its organisation is owed, then jobs of those organisations that have most open work for
 * their weight, then what can't be in time. A refused job that returns when told goes before newcomers: it is judged by
 * when it was first submitted, and the room that was promised to it is not given to others.
 */
public final class SharedAdmission {

    /** Share of the cores that can be kept busy; the rest is lost between tasks and in gaps too small for a task. */
    private static final double REACHABLE_SHARE = 0.85;

    /** Part of a job's slack that work beyond the owed rate may use up; the rest is left for owed jobs that come. */
    private static final double LENT_SLACK_SHARE = 0.5;

    /** Multiple of its objective within which a late job is still of use to its client. */
    private static final int LATE_OBJECTIVES = 3;

    /** Number of refusals after which clients stop returning. */
    private static final int CLIENT_RETRIES = 4;

    /** Minimum retry time, in milliseconds: the header carries whole seconds. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Maximum retry time, in milliseconds: with four retries, jobs of all objectives are still of use at the last. */
    private static final long MAX_RETRY_MILLIS = 8_000;

    /** Maximum number of accepted jobs that are remembered until they are committed. */
    private static final int MAX_UNCOMMITTED = 1_024;

    private final FairShares shares = new FairShares();
    private final PromisedReturns urgentReturns = new PromisedReturns();
    private final PromisedReturns otherReturns = new PromisedReturns();
    private final Map<String, OwedRate> rates = new HashMap<>();
    private final Map<String, Acceptance> uncommitted = new LinkedHashMap<>();

    /**
     * A job to decide on.
     *
     * @param id the job's id
     * @param organisation the organisation that submits it
     * @param urgent whether its queue has the most urgent priority
     * @param work its work, in thousandths of a core times milliseconds
     * @param criticalPathMillis the length of its critical path, in milliseconds
     * @param objectiveMillis the time within which it has to complete, in milliseconds
     */
    public record Submission(
            String id,
            String organisation,
            boolean urgent,
            double work,
            long criticalPathMillis,
            long objectiveMillis) {}

    /**
     * The work that waits, in thousandths of a core times milliseconds, and the cores for it.
     *
     * @param aheadWork the work that is scheduled before the job if it lies within its share
     * @param waitingWork all work that waits, also that of late jobs; an urgent job goes before most of it
     * @param gatherMillis how long the job's gangs and those before them wait until their room has come together
     * @param usableCpuMillis the cores of the usable workers, in thousandths of a core
     */
    public record Load(double aheadWork, double waitingWork, double gatherMillis, long usableCpuMillis) {

        /** Returns the work that may be placed before a job that can't claim a share. */
        private double beforeShares(Submission submission) {
            return submission.urgent ? aheadWork : waitingWork;
        }

        private double millis(double work) {
            return work / (usableCpuMillis * REACHABLE_SHARE);
        }
    }

    /**
     * What is known of an accepted job.
     *
     * @param beyondShare whether it comes after the work within shares
     * @param firstMillis when it was first submitted, as monotonic time in milliseconds
     */
    public record Acceptance(boolean beyondShare, long firstMillis) {}

    /** What a job may claim: whether it lies within the owed rate, its first submission, and how often it was refused. */
    private record Claim(boolean owed, long firstMillis, int refusals) {

        /** Returns how long the job can wait if it has to complete within a multiple of its objective. */
        long leftMillis(Submission submission, int objectives, long nowMillis) {
            return firstMillis + objectives * submission.objectiveMillis - submission.criticalPathMillis - nowMillis;
        }
    }

    /**
     * Replaces the declared organisations.
     *
     * @param weights the weight of each organisation
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void declare(Map<String, Integer> weights, long nowMillis) {
        shares.weights(weights);
        rates.keySet().retainAll(weights.keySet());
        weights.forEach(
                (organisation, weight) -> rates.computeIfAbsent(organisation, absent -> new OwedRate(weight, nowMillis))
                        .weight(weight));
    }

    /**
     * Returns whether jobs of an organisation are decided on here.
     *
     * @param organisation the organisation's name
     * @return true if it is declared
     */
    public boolean appliesTo(String organisation) {
        return shares.declared(organisation);
    }

    /**
     * Records a change of the work of an organisation's accepted jobs that is not done.
     *
     * @param organisation the organisation's name
     * @param added the work added, in thousandths of a core times milliseconds
     */
    public void workChanged(String organisation, double added) {
        if (added != 0 && !organisation.isEmpty()) {
            shares.add(organisation, added);
        }
    }

    /**
     * Returns when a job was first submitted.
     *
     * @param job the job's id
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the time of the first submission, now for one that is not known
     */
    public long firstMillis(String job, long nowMillis) {
        return urgentReturns
                .of(job)
                .or(() -> otherReturns.of(job))
                .map(PromisedReturns.Promise::firstMillis)
                .orElse(nowMillis);
    }

    /**
     * Returns what is known of a job that has been committed.
     *
     * @param job the job's id
     * @return the acceptance, empty if another leader has accepted the job
     */
    public Optional<Acceptance> committed(String job) {
        return Optional.ofNullable(uncommitted.remove(job));
    }

    /**
     * Decides whether a job is accepted.
     *
     * @param submission the job
     * @param load the work that waits
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the refusal, empty if the job is accepted
     */
    public Optional<Refusal> decide(Submission submission, Load load, long nowMillis) {
        Claim claim = returns(submission)
                .take(submission.id())
                .map(promise -> new Claim(promise.owed(), promise.firstMillis(), promise.refusals()))
                .orElseGet(() -> new Claim(rates.get(submission.organisation()).take(nowMillis), nowMillis, 0));
        Optional<Refusal> refusal = judge(submission, claim, load, nowMillis);
        refusal.ifPresentOrElse(
                reason -> promiseReturn(submission, claim, reason.retryAfterMillis(), nowMillis),
                () -> accept(submission.id(), new Acceptance(!claim.owed, claim.firstMillis)));
        return refusal;
    }

    /**
     * Returns what {@link #decide} would return, and changes nothing.
     *
     * @param submission the job
     * @param load the work that waits
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the refusal, empty if the job would be accepted
     */
    public Optional<Refusal> preview(Submission submission, Load load, long nowMillis) {
        Claim claim = returns(submission)
                .of(submission.id())
                .map(promise -> new Claim(promise.owed(), promise.firstMillis(), promise.refusals()))
                .orElseGet(() -> new Claim(rates.get(submission.organisation()).available(nowMillis), nowMillis, 0));
        return judge(submission, claim, load, nowMillis);
    }

    private Optional<Refusal> judge(Submission submission, Claim claim, Load load, long nowMillis) {
        double waitMillis = waitMillis(submission, claim, load, nowMillis);
        long slackMillis = claim.leftMillis(submission, 1, nowMillis);
        boolean inTime = waitMillis <= (claim.owed ? slackMillis : LENT_SLACK_SHARE * slackMillis);
        // Urgent jobs are small: done late they are of use to their callers and delay few others.
        boolean mayBeLate = claim.refusals > 0 || claim.owed && submission.urgent;
        if (inTime || mayBeLate && canBeLate(submission, claim, load, nowMillis)) {
            return Optional.empty();
        }
        long retryMillis = retryMillis(submission, claim, load, nowMillis);
        return Optional.of(
                claim.owed
                        ? new Refusal(
                                ResultCode.DEADLINE_UNREACHABLE,
                                "the work ahead takes " + (long) waitMillis + " ms, the job can wait " + slackMillis
                                        + " ms",
                                retryMillis)
                        : new Refusal(
                                ResultCode.SHARE_EXCEEDED,
                                "the organisation sends more than it is owed, and there is no room to lend",
                                retryMillis));
    }

    private PromisedReturns returns(Submission submission) {
        return submission.urgent() ? urgentReturns : otherReturns;
    }

    /** Returns how long a job would wait, in milliseconds; a client that returns does not wait for other returns. */
    private double waitMillis(Submission submission, Claim claim, Load load, long nowMillis) {
        double aheadWork = claim.owed
                ? load.aheadWork * shares.portionAhead(submission.organisation, submission.work)
                : load.beforeShares(submission);
        double promisedWork = claim.refusals > 0
                ? 0
                : urgentReturns.workInTime(nowMillis) + (submission.urgent ? 0 : otherReturns.workInTime(nowMillis));
        return load.millis(aheadWork + promisedWork) + load.gatherMillis;
    }

    /** Returns whether a job that can't be in time will be of use: with time to spare unless its client gives up now. */
    private static boolean canBeLate(Submission submission, Claim claim, Load load, long nowMillis) {
        long slackMillis = claim.leftMillis(submission, LATE_OBJECTIVES, nowMillis);
        boolean lastAttempt = claim.refusals >= CLIENT_RETRIES;
        return load.millis(load.beforeShares(submission)) + load.gatherMillis
                <= (lastAttempt ? slackMillis : LENT_SLACK_SHARE * slackMillis);
    }

    /** Returns the time after which the client of a refused job is to return, in milliseconds. */
    private long retryMillis(Submission submission, Claim claim, Load load, long nowMillis) {
        long slackMillis = claim.leftMillis(submission, 1, nowMillis);
        double roomMillis =
                load.millis(load.beforeShares(submission) + returns(submission).work(nowMillis))
                        - Math.max(0, slackMillis);
        return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, roomMillis));
    }

    /** Remembers a refused job until its client returns. */
    private void promiseReturn(Submission submission, Claim claim, long retryMillis, long nowMillis) {
        returns(submission)
                .add(new PromisedReturns.Promise(
                        submission.id,
                        claim.owed,
                        claim.firstMillis,
                        claim.refusals + 1,
                        nowMillis + retryMillis,
                        submission.work,
                        claim.leftMillis(submission, 1, nowMillis) > retryMillis));
    }

    private void accept(String job, Acceptance acceptance) {
        if (uncommitted.size() >= MAX_UNCOMMITTED) {
            uncommitted.remove(uncommitted.keySet().iterator().next());
        }
        uncommitted.put(job, acceptance);
    }
}
