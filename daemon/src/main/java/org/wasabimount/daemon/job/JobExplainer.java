package org.wasabimount.daemon.job;

import java.util.Optional;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.core.dispatch.Dispatcher;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobCheck;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.quota.QuotaCheck;
import org.wasabimount.protocol.job.Explain;
import org.wasabimount.protocol.job.ExplainedOrganisation;
import org.wasabimount.protocol.job.Explanation;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

import io.vavr.control.Either;

/**
 * Explains to an operator what would become of a job, or what an accepted one waits for, without changing anything.
 *
 * <p>Explanations are limited in their rate: each costs the leader as much as a submission.
 */
final class JobExplainer {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    /** Minimum time between two explanations, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 200;

    private final Supplier<JobTable> table;
    private final Clock clock;
    private final Clock wallClock;
    private long dueMillis = Long.MIN_VALUE;

    JobExplainer(Supplier<JobTable> table, Clock clock, Clock wallClock) {
        this.table = table;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns the explanation, or the refusal to give one. */
    Either<Refusal, Explanation> explain(String requestId, Explain request, Dispatcher dispatcher) {
        Either<Refusal, Explanation> explanation = explain(request, dispatcher);
        LOG.log(
                System.Logger.Level.INFO,
                "EXPLAIN request={0} job={1} organisation={2} outcome={3}",
                requestId,
                request.getSpec().getId(),
                request.getOrganisation(),
                explanation.fold(Refusal::code, told -> ResultCode.of(told.getResultCode())));
        return explanation;
    }

    private Either<Refusal, Explanation> explain(Explain request, Dispatcher dispatcher) {
        if (clock.millis() < dueMillis) {
            return Either.left(
                    new Refusal(ResultCode.RATE_LIMITED, "one explanation at a time", dueMillis - clock.millis()));
        }
        dueMillis = clock.millis() + MIN_INTERVAL_MILLIS;
        JobSpec spec = request.getSpec();
        Optional<Job> known =
                table.get().job(spec.getId()).filter(job -> CallerCheck.submittedAt(job, request.getAt()));
        if (known.isPresent()) {
            return Either.right(explanation(known.get().queue(), known.get().organisation(), Optional.empty())
                    .addAllSteps(dispatcher.explain(known.get(), wallClock.millis()))
                    .build());
        }
        if (spec.getStepsCount() == 0) {
            return Either.left(Refusal.of(ResultCode.NOT_FOUND, "there is no job " + spec.getId()));
        }
        Optional<Queue> queue =
                table.get().queueAt(request.getAt().getHost(), request.getAt().getPath());
        return queue.isEmpty()
                ? Either.left(Refusal.of(ResultCode.NO_SUCH_ROUTE, "there is no queue at this address"))
                : Either.right(submission(spec, queue.get(), request.getOrganisation(), dispatcher));
    }

    private Explanation submission(JobSpec spec, Queue queue, String organisation, Dispatcher dispatcher) {
        boolean unknown = queue.getSecretRequired()
                && table.get().organisations().account(organisation).isEmpty();
        Optional<Refusal> refusal = unknown
                ? Optional.of(Refusal.of(ResultCode.UNAUTHENTICATED, "there is no such organisation"))
                : JobCheck.check(spec)
                        .or(() -> table.get()
                                .organisations()
                                .account(organisation)
                                .flatMap(account -> QuotaCheck.check(spec, account)))
                        .or(() -> dispatcher.wouldRefuse(spec, queue, organisation));
        Explanation.Builder explanation = explanation(queue, organisation, refusal);
        // What is refused because of the work ahead still has a place that it would go to.
        if (refusal.isEmpty() || refusal.get().code().retryable()) {
            Job job = new Job(spec, queue, organisation, wallClock.millis());
            explanation.addAllSteps(dispatcher.explain(job, wallClock.millis()));
        }
        return explanation.build();
    }

    private Explanation.Builder explanation(Queue queue, String organisation, Optional<Refusal> refusal) {
        Explanation.Builder explanation =
                Explanation.newBuilder().setQueue(queue.getName()).setPool(queue.getPool());
        refusal.ifPresent(reason -> explanation
                .setResultCode(reason.code().number())
                .setDetail(reason.detail())
                .setRetryAfterMillis(reason.retryAfterMillis()));
        table.get().organisations().account(organisation).map(this::account).ifPresent(explanation::setOrganisation);
        return explanation;
    }

    private ExplainedOrganisation account(OrganisationAccount account) {
        double weights = table.get().organisations().accounts().stream()
                .mapToInt(OrganisationAccount::weight)
                .sum();
        return ExplainedOrganisation.newBuilder()
                .setName(account.id().name())
                .setShare(account.weight() / weights)
                .setQuota(account.quota().toQuantity())
                .setUsed(account.used().toQuantity())
                .build();
    }
}
