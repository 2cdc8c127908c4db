package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;

/**
 * Twenty unequal organisations that compete for a pool at 0.83 of its cores at the mean, in virtual time.
 *
 * <p>Long jobs come at 2.6 times their rate, then the largest organisation sends at five times its rate, urgent jobs come
 * at twice theirs, and all organisations send at 1.5 times theirs. Clients that are refused return after the time told,
 * four times at most.
 *
 * <p>The main method prints how the jobs fared with and without declared organisations.
 */
final class SharedLoad {

    /** Numbers of the workers of the deployment and of the VMs that call for advice. */
    static final int WORKERS = 246;

    private static final Capacity UNLIMITED = new Capacity(Capacity.UNLIMITED, Capacity.UNLIMITED, Capacity.UNLIMITED);

    private static final int CALLERS = 32;
    private static final int MAX_GANG = 120;
    private static final Capacity WORKER = new Capacity(16_000, 32_768, 0);
    private static final int ORGANISATIONS = 20;
    private static final double SKEW = 1.2;

    /** What an organisation is owed, as a multiple of its usual rate. */
    private static final double OWED_SHARE = 1.9;

    private static final int CLIENT_RETRIES = 4;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int LATE_OBJECTIVES = 3;
    private static final double LATE_WORTH = 0.2;
    private static final long TRAFFIC_MILLIS = 41_000;
    private static final long FINISH_MILLIS = 14_000;

    /** A class of jobs with the worth of a mean job. */
    private record Kind(DeploymentLoad.JobClass jobs, double worth, double meanWork) {
        String name() {
            return jobs.queue().getName();
        }
    }

    private static final List<Kind> KINDS = List.of(
            new Kind(
                    new DeploymentLoad.JobClass(
                            DeploymentLoad.queue("term-rebuild", 1, 1_000, 2.2, DeploymentLoad.advice(455, 6.5, 1_500)),
                            3.11,
                            0.2,
                            new DeploymentLoad.Amount(20, 0.8, 1, 120),
                            new DeploymentLoad.Amount(4_500, 0.4, 500, 7_600),
                            new DeploymentLoad.Amount(4_500, 0.5, 500, 9_100),
                            new DeploymentLoad.Amount(4_000, 0.5, 200, 10_000),
                            1,
                            25),
                    7.36,
                    1.2 * 20 * 4_500 * 4_000),
            new Kind(
                    new DeploymentLoad.JobClass(
                            DeploymentLoad.queue("cover-swap", 2, 3_000, 4, DeploymentLoad.advice(104, 1.43, 1_500)),
                            11.3,
                            0.5,
                            new DeploymentLoad.Amount(25, 0.8, 1, 150),
                            new DeploymentLoad.Amount(1_700, 0.45, 200, 5_200),
                            new DeploymentLoad.Amount(3_200, 0.6, 300, 9_600),
                            new DeploymentLoad.Amount(2_200, 0.5, 200, 5_400),
                            0,
                            45),
                    2.21,
                    1.5 * 25 * 1_700 * 2_200),
            new Kind(
                    new DeploymentLoad.JobClass(
                            DeploymentLoad.queue("clash-check", 0, 300, 1.5, DeploymentLoad.advice(14.3, 0.208, 1_500)),
                            46.4,
                            0,
                            new DeploymentLoad.Amount(3.2, 0.8, 1, 19),
                            new DeploymentLoad.Amount(2_500, 0.45, 300, 7_400),
                            new DeploymentLoad.Amount(3_600, 0.6, 300, 11_000),
                            new DeploymentLoad.Amount(1_000, 0.5, 50, 2_500),
                            0.3,
                            70),
                    0.431,
                    3.2 * 2_500 * 1_000));

    /** A time in which some jobs come at a multiple of their rate. */
    private record Burst(long fromMillis, long untilMillis, double factor, String kind, int organisation) {
        double factor(long millis, Kind of, int by) {
            boolean applies = millis >= fromMillis
                    && millis < untilMillis
                    && (kind.isEmpty() || kind.equals(of.name()))
                    && (organisation < 0 || organisation == by);
            return applies ? factor : 1;
        }
    }

    private static final List<Burst> BURSTS = List.of(
            new Burst(2_500, 8_500, 2.6, "cover-swap", -1),
            new Burst(8_000, 14_000, 5, "", 0),
            new Burst(14_000, 18_000, 2, "clash-check", -1),
            new Burst(21_000, 25_000, 1.6, "term-rebuild", -1),
            new Burst(28_000, 34_000, 1.5, "", -1));

    /** A job as its client sees it. */
    private static final class Submission {
        final Kind kind;
        final int organisation;
        final JobSpec spec;
        final long firstMillis;
        final boolean owed;
        int attempts;
        boolean accepted;

        Submission(Kind kind, int organisation, JobSpec spec, long firstMillis, boolean owed) {
            this.kind = kind;
            this.organisation = organisation;
            this.spec = spec;
            this.firstMillis = firstMillis;
            this.owed = owed;
        }

        double worth() {
            return Math.min(4, 0.3 + 0.7 * JobPlan.work(spec) / kind.meanWork) * kind.worth;
        }
    }

    private record Return(long atMillis, Submission submission) {}

    final SimulatedCell cell;
    private final boolean declared;
    private final double scale;
    private final int workers;
    private final Random random;
    private final Random jitter = new Random(1);
    private final double[] usualShares;
    private final double[] owed;
    private final List<Submission> submissions = new ArrayList<>();
    private final PriorityQueue<Return> returns = new PriorityQueue<>(Comparator.comparingLong(Return::atMillis));
    private int refusals;

    /**
     * Starts a cell and lets its workers announce themselves.
     *
     * @param seed the seed of the cell and of the arrivals
     * @param declared whether the table declares the organisations
     * @param workers the number of workers that are left
     * @param scale the share of the rates, which are those for {@link #WORKERS}
     */
    SharedLoad(long seed, boolean declared, int workers, double scale) {
        this.declared = declared;
        this.scale = scale;
        this.workers = workers;
        random = new Random(seed);
        double[] sizes = IntStream.rangeClosed(1, ORGANISATIONS)
                .mapToDouble(rank -> Math.pow(rank, -SKEW))
                .toArray();
        double total =
                IntStream.range(0, ORGANISATIONS).mapToDouble(i -> sizes[i]).sum();
        usualShares = IntStream.range(0, ORGANISATIONS)
                .mapToDouble(i -> sizes[i] / total)
                .toArray();
        owed = IntStream.range(0, ORGANISATIONS)
                .mapToDouble(this::owedPerSecond)
                .toArray();
        cell = new SimulatedCell(seed);
        cell.stepMillis = 10;
        if (declared) {
            cell.organisations = IntStream.range(0, ORGANISATIONS)
                    .mapToObj(number -> Organisation.newBuilder()
                            .setName("org" + number)
                            .setWeight((int) owedPerSecond(number))
                            .setQuota(UNLIMITED.toQuantity())
                            .build())
                    .toList();
        }
        cell.putQueues(KINDS.stream().map(kind -> kind.jobs.queue()).toList());
        KINDS.forEach(kind -> cell.eligiblePercents.put(kind.name(), kind.jobs.eligiblePercent()));
        cell.addresses(workers).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.dispatcher.callers(IntStream.range(0, Math.max(1, (int) (CALLERS * scale)))
                .mapToObj(number -> "front" + number)
                .toList());
        cell.run(DeploymentLoad.SETTLE_MILLIS);
    }

    private double owedPerSecond(int organisation) {
        double perSecond =
                KINDS.stream().mapToDouble(kind -> kind.jobs.perSecond()).sum() * scale;
        return Math.max(1, Math.round(usualShares[organisation] * perSecond * OWED_SHARE));
    }

    /** Plays the load and lets the accepted jobs finish. */
    SharedLoad play() {
        long startMillis = cell.nowMillis();
        while (cell.nowMillis() < startMillis + TRAFFIC_MILLIS) {
            long sinceMillis = cell.nowMillis() - startMillis;
            for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
                owed[organisation] = Math.min(
                        owedPerSecond(organisation),
                        owed[organisation] + owedPerSecond(organisation) * cell.stepMillis / MILLIS_PER_SECOND);
                for (Kind kind : KINDS) {
                    arrive(kind, organisation, sinceMillis);
                }
            }
            while (!returns.isEmpty() && returns.peek().atMillis() <= cell.nowMillis()) {
                send(returns.poll().submission());
            }
            cell.run(cell.stepMillis);
        }
        long endMillis = cell.nowMillis() + FINISH_MILLIS;
        while (cell.nowMillis() < endMillis) {
            while (!returns.isEmpty() && returns.peek().atMillis() <= cell.nowMillis()) {
                send(returns.poll().submission());
            }
            cell.run(cell.stepMillis);
        }
        return this;
    }

    private void arrive(Kind kind, int organisation, long sinceMillis) {
        double factor = BURSTS.stream()
                .mapToDouble(burst -> burst.factor(sinceMillis, kind, organisation))
                .reduce(1, (one, other) -> one * other);
        double perStep = kind.jobs.perSecond()
                * scale
                * usualShares[organisation]
                * factor
                * cell.stepMillis
                / MILLIS_PER_SECOND;
        if (random.nextDouble() < perStep) {
            boolean withinRate = owed[organisation] >= 1;
            owed[organisation] -= withinRate ? 1 : 0;
            JobSpec spec = narrowed(kind.jobs.job(kind.name() + "-" + submissions.size(), random));
            Submission submission = new Submission(kind, organisation, spec, cell.nowMillis(), withinRate);
            submissions.add(submission);
            send(submission);
        }
    }

    /** Returns a job whose steps are no wider, for the number of workers, than the widest of the deployment. */
    private JobSpec narrowed(JobSpec spec) {
        int widest = Math.max(1, MAX_GANG * workers / WORKERS);
        return spec.toBuilder()
                .clearSteps()
                .addAllSteps(spec.getStepsList().stream()
                        .map(step -> step.toBuilder()
                                .setCount(Math.min(step.getCount(), widest))
                                .build())
                        .toList())
                .build();
    }

    private void send(Submission submission) {
        submission.attempts++;
        String organisation = declared ? "org" + submission.organisation : "";
        cell.dispatcher.at(cell.nowMillis());
        Optional<Refusal> refusal = cell.dispatcher.admit(submission.spec, submission.kind.jobs.queue(), organisation);
        if (refusal.isEmpty()) {
            submission.accepted = true;
            cell.submit(submission.spec, submission.kind.jobs.queue(), organisation);
            return;
        }
        refusals++;
        if (submission.attempts <= CLIENT_RETRIES) {
            long seconds = (long) Math.ceil(refusal.get().retryAfterMillis() / MILLIS_PER_SECOND);
            returns.add(new Return(
                    cell.nowMillis() + (long) (seconds * MILLIS_PER_SECOND) + jitter.nextInt(40), submission));
        }
    }

    private Optional<Job> job(Submission submission) {
        return submission.accepted ? cell.table.job(submission.spec.getId()) : Optional.empty();
    }

    private boolean within(Submission submission, int objectives) {
        long objectiveMillis = JobPlan.objectiveMillis(submission.spec, submission.kind.jobs.queue());
        return job(submission)
                .filter(job -> job.phase() == JobPhase.COMPLETED)
                .filter(job -> job.endedMillis() - cell.wallMillis() + cell.nowMillis() - submission.firstMillis
                        <= objectives * objectiveMillis)
                .isPresent();
    }

    private boolean inTime(Submission submission) {
        return within(submission, 1);
    }

    private boolean served(Submission submission) {
        return within(submission, LATE_OBJECTIVES);
    }

    private static double share(List<Submission> of, Predicate<Submission> condition) {
        return (double) of.stream().filter(condition).count() / Math.max(1, of.size());
    }

    private List<Submission> owed(Predicate<Submission> condition) {
        return submissions.stream()
                .filter(submission -> submission.owed && condition.test(submission))
                .toList();
    }

    /** Returns the share of the owed worth that is earned by jobs that fulfil a condition. */
    double worth(Predicate<Submission> condition) {
        List<Submission> of = owed(condition);
        double total = of.stream().mapToDouble(Submission::worth).sum();
        return of.stream()
                        .mapToDouble(submission ->
                                submission.worth() * (inTime(submission) ? 1 : served(submission) ? LATE_WORTH : 0))
                        .sum()
                / Math.max(1, total);
    }

    /** Returns the share of the owed worth that is earned. */
    double worth() {
        return worth(submission -> true);
    }

    /** Returns the share of the owed jobs that are completed within three times their objective. */
    double served() {
        return share(owed(submission -> true), this::served);
    }

    /** Returns the mean share of worth that the worst tenth of the organisations earn. */
    double worthOfWorstOrganisations() {
        return IntStream.range(0, ORGANISATIONS)
                .mapToDouble(number -> worth(submission -> submission.organisation == number))
                .sorted()
                .limit(ORGANISATIONS / 10)
                .average()
                .orElse(0);
    }

    /** Returns the accepted jobs that are never completed. */
    long neverCompleted() {
        return submissions.stream()
                .filter(submission -> submission.accepted
                        && job(submission)
                                .filter(job -> job.phase() == JobPhase.COMPLETED)
                                .isEmpty())
                .count();
    }

    /** Returns the share served of the widest tenth of a kind, and of the fifth below it. */
    double[] servedBySize(String kind) {
        List<Submission> widestFirst = owed(submission -> submission.kind.name().equals(kind)).stream()
                .sorted(Comparator.comparingDouble((Submission submission) -> JobPlan.work(submission.spec))
                        .reversed())
                .toList();
        int tenth = widestFirst.size() / 10;
        return new double[] {
            share(widestFirst.subList(0, tenth), this::served),
            share(widestFirst.subList(tenth, 3 * tenth), this::served)
        };
    }

    @Override
    public String toString() {
        String kinds = KINDS.stream()
                .map(kind -> {
                    List<Submission> of = owed(submission -> submission.kind == kind);
                    double[] bySize = servedBySize(kind.name());
                    return String.format(
                            Locale.ROOT,
                            "%n  %s: %d owed, in time %.3f, late %.3f, refused at last %.3f, never completed %d,"
                                    + " served after a return %d, of the largest tenth %.2f, of the next fifth %.2f",
                            kind.name(),
                            of.size(),
                            share(of, this::inTime),
                            share(of, submission -> served(submission) && !inTime(submission)),
                            share(of, submission -> !submission.accepted),
                            of.stream()
                                    .filter(submission -> submission.accepted && !served(submission))
                                    .count(),
                            of.stream()
                                    .filter(submission -> submission.attempts > 1 && served(submission))
                                    .count(),
                            bySize[0],
                            bySize[1]);
                })
                .collect(Collectors.joining());
        Map<String, Long> beyond = new TreeMap<>();
        submissions.stream()
                .filter(submission -> !submission.owed)
                .forEach(submission -> beyond.merge(served(submission) ? "served" : "not", 1L, Long::sum));
        return String.format(
                Locale.ROOT,
                "declared=%b submitted=%d refusals=%d worth=%.3f served=%.4f worst organisations=%.3f hot=%.3f others"
                        + " meanwhile=%.3f never completed=%d beyond owed rate=%s%s",
                declared,
                submissions.size(),
                refusals,
                worth(),
                served(),
                worthOfWorstOrganisations(),
                worth(submission -> submission.organisation == 0),
                worth(submission -> submission.organisation != 0
                        && submission.firstMillis > 10_000
                        && submission.firstMillis < 16_000),
                neverCompleted(),
                beyond,
                kinds);
    }

    /**
     * Prints how the jobs fared.
     *
     * @param arguments the number of workers, the share of the rates, and the seeds
     */
    public static void main(String[] arguments) {
        int workers = arguments.length > 0 ? Integer.parseInt(arguments[0]) : WORKERS;
        double scale = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 1;
        Stream.of(arguments).skip(2).mapToLong(Long::parseLong).forEach(seed -> {
            System.out.println(new SharedLoad(seed, false, workers, scale).play());
            System.out.println(new SharedLoad(seed, true, workers, scale).play());
        });
    }
}
