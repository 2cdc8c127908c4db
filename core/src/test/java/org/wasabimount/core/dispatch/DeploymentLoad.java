package org.wasabimount.core.dispatch;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/**
 * The load of a deployment on a simulated cell, in virtual time and with fixed seeds.
 *
 * <p>The main method prints what the dispatcher examines, the processor time that it takes and how the jobs fared.
 */
final class DeploymentLoad {

    static final long SETTLE_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Stretch of the objective of jobs in a backlog; they come after all jobs that arrive meanwhile. */
    private static final double BACKLOG_STRETCH = 50;

    final SimulatedCell cell;
    final Deployment deployment;
    final List<String> accepted = new ArrayList<>();
    int refused;

    /** All jobs that were submitted, by class, with the number of tasks of each. */
    final Map<String, Map<String, Integer>> submitted = new TreeMap<>();

    private final Random random;
    private final double[] nextMillis;
    private final double share;

    /** The deployments whose load can be played; their rates are declared for the given number of workers. */
    enum Deployment {
        /** dwd-panel-grown: every job of a class has the same size. */
        PANEL(
                246,
                32,
                new Capacity(64_000, 128_000, 0),
                List.of(
                        new JobClass(
                                queue("panel-reweight", 1, 1_000, 1, advice(559, 8.06, 2_500)),
                                3.33,
                                0.2,
                                Amount.fixed(20),
                                Amount.fixed(18_000),
                                Amount.fixed(500),
                                Amount.fixed(5_000),
                                1,
                                25),
                        new JobClass(
                                queue("diary-coding", 1, 3_000, 1, advice(104, 1.43, 2_500)),
                                8.62,
                                0.5,
                                Amount.fixed(25),
                                Amount.fixed(6_900),
                                Amount.fixed(500),
                                Amount.fixed(2_200),
                                0,
                                45),
                        new JobClass(
                                queue("page-check", 0, 250, 1, advice(14.3, 0.208, 2_500)),
                                61.8,
                                0,
                                Amount.fixed(3),
                                Amount.fixed(9_900),
                                Amount.fixed(500),
                                Amount.fixed(1_000),
                                0,
                                70))),

        /** As {@link #PANEL}, but sizes vary from job to job, gangs have up to 120 tasks. */
        PANEL_VARIED(
                246,
                32,
                new Capacity(64_000, 131_072, 0),
                List.of(
                        new JobClass(
                                queue("panel-reweight", 1, 1_000, 2.2, advice(559, 8.06, 2_500)),
                                3.33,
                                0.2,
                                new Amount(20, 0.8, 1, 120),
                                new Amount(18_000, 0.4, 1_000, 30_000),
                                new Amount(18_000, 0.5, 1_000, 37_000),
                                new Amount(5_000, 0.5, 200, 12_000),
                                1,
                                25),
                        new JobClass(
                                queue("diary-coding", 2, 3_000, 4, advice(104, 1.43, 2_500)),
                                8.62,
                                0.5,
                                new Amount(25, 0.8, 1, 150),
                                new Amount(6_900, 0.45, 500, 21_000),
                                new Amount(10_000, 0.6, 500, 30_000),
                                new Amount(2_200, 0.5, 200, 5_400),
                                0,
                                45),
                        new JobClass(
                                queue("page-check", 0, 250, 1.5, advice(14.3, 0.208, 2_500)),
                                61.8,
                                0,
                                new Amount(3.2, 0.8, 1, 19),
                                new Amount(9_900, 0.45, 500, 30_000),
                                new Amount(18_000, 0.6, 500, 55_000),
                                new Amount(1_000, 0.5, 50, 2_500),
                                0.3,
                                70))),

        /** weesteps-sched-large: sizes vary from job to job, gangs have up to 80 tasks. */
        LARGE(
                260,
                52,
                new Capacity(32_000, 131_072, 0),
                List.of(
                        new JobClass(
                                queue("stock-reorder", 1, 1_000, 2.2, advice(507, 7.28, 1_500)),
                                6.45,
                                0.2,
                                new Amount(13, 0.8, 1, 80),
                                new Amount(9_000, 0.4, 1_000, 15_000),
                                new Amount(34_000, 0.5, 1_000, 68_000),
                                new Amount(4_000, 0.5, 200, 10_000),
                                1,
                                25),
                        new JobClass(
                                queue("growth-report", 2, 3_000, 4, advice(182, 2.6, 1_500)),
                                8.7,
                                0.5,
                                new Amount(11, 0.6, 1, 56),
                                new Amount(5_500, 0.45, 500, 16_000),
                                new Amount(16_000, 0.6, 500, 47_000),
                                new Amount(3_400, 0.5, 200, 8_400),
                                0,
                                45),
                        new JobClass(
                                queue("foot-scan", 0, 300, 1.5, advice(19.5, 0.286, 1_500)),
                                79.3,
                                0,
                                new Amount(2.6, 0.8, 1, 15),
                                new Amount(7_800, 0.45, 500, 23_000),
                                new Amount(22_000, 0.6, 500, 67_000),
                                new Amount(640, 0.5, 50, 1_600),
                                0.3,
                                70)));

        final int workers;
        final Capacity worker;
        private final int callers;
        private final List<JobClass> classes;

        Deployment(int workers, int callers, Capacity worker, List<JobClass> classes) {
            this.workers = workers;
            this.callers = callers;
            this.worker = worker;
            this.classes = classes;
        }
    }

    /** A log-normal distribution by its mean and its standard deviation as a share of the mean, within limits. */
    record Amount(double mean, double spread, long min, long max) {

        static Amount fixed(long value) {
            return new Amount(value, 0, value, value);
        }

        long draw(Random random) {
            if (spread == 0) {
                return (long) mean;
            }
            double variance = Math.log(1 + spread * spread);
            double drawn = Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance) * random.nextGaussian());
            return Math.max(min, Math.min(max, Math.round(drawn)));
        }
    }

    /** One kind of job of a deployment. */
    record JobClass(
            Queue queue,
            double perSecond,
            double secondStepShare,
            Amount tasks,
            Amount cpuMillis,
            Amount memoryMegabytes,
            Amount estimateMillis,
            double gangShare,
            int eligiblePercent) {

        JobSpec job(String id, Random random) {
            boolean twoSteps = random.nextDouble() < secondStepShare;
            Step step = Step.newBuilder()
                    .setCount((int) tasks.draw(random))
                    .setSize(new Capacity(cpuMillis.draw(random), memoryMegabytes.draw(random), 0).toQuantity())
                    .setEstimateMillis(estimateMillis.draw(random))
                    .setGang(random.nextDouble() < gangShare)
                    .build();
            JobSpec.Builder spec =
                    JobSpec.newBuilder().setId(id).setQueue(queue.getName()).addSteps(step);
            if (twoSteps) {
                spec.addSteps(step.toBuilder().addAfter(0));
            }
            return spec.build();
        }
    }

    /**
     * Starts a cell and lets its workers announce themselves.
     *
     * @param seed the seed of the cell and of the arrivals
     * @param deployment the deployment
     * @param workers the number of workers
     * @param share the share of the deployment's rates
     */
    DeploymentLoad(long seed, Deployment deployment, int workers, double share) {
        this.deployment = deployment;
        this.share = share;
        random = new Random(seed);
        cell = new SimulatedCell(seed);
        cell.putQueues(deployment.classes.stream().map(JobClass::queue).toList());
        deployment.classes.forEach(kind -> cell.eligiblePercents.put(kind.queue.getName(), kind.eligiblePercent));
        cell.addresses(workers).forEach(address -> cell.worker("w" + address, address, deployment.worker));
        int callers = Math.max(1, deployment.callers * workers / deployment.workers);
        cell.dispatcher.callers(
                IntStream.range(0, callers).mapToObj(number -> "front" + number).toList());
        cell.run(SETTLE_MILLIS);
        nextMillis =
                deployment.classes.stream().mapToDouble(this::nextArrivalMillis).toArray();
    }

    static Queue queue(String name, int priority, long objectiveMillis, double stretch, AdviceCost advice) {
        return Queue.newBuilder()
                .setName(name)
                .setHost(name)
                .setPathPrefix("/")
                .setPool("pool")
                .setPriority(priority)
                .setTimeoutMillis(3_000)
                .setObjectiveMillis(objectiveMillis)
                .setStretch(stretch)
                .setMaxAttempts(4)
                .setAdvice(advice)
                .build();
    }

    static AdviceCost advice(double callMillis, double workerMillis, int validMillis) {
        return AdviceCost.newBuilder()
                .setCallMillis(callMillis)
                .setWorkerMillis(workerMillis)
                .setValidMillis(validMillis)
                .build();
    }

    private double nextArrivalMillis(JobClass kind) {
        return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / (kind.perSecond * share);
    }

    /** Submits the jobs that arrive during a time while the cell runs. */
    void run(long millis) {
        long untilMillis = cell.nowMillis() + millis;
        long startMillis = cell.nowMillis();
        double[] arrivals = nextMillis.clone();
        while (cell.nowMillis() < untilMillis) {
            for (int number = 0; number < arrivals.length; number++) {
                while (startMillis + arrivals[number] <= cell.nowMillis()) {
                    submit(deployment.classes.get(number));
                    arrivals[number] += nextArrivalMillis(deployment.classes.get(number));
                }
            }
            cell.run(cell.stepMillis);
        }
        for (int number = 0; number < arrivals.length; number++) {
            nextMillis[number] = arrivals[number] - millis;
        }
    }

    private void submit(JobClass kind) {
        String name = kind.queue.getName();
        JobSpec spec = kind.job(name + "-" + (accepted.size() + refused), random);
        submitted
                .computeIfAbsent(name, absent -> new TreeMap<>())
                .put(spec.getId(), spec.getSteps(0).getCount());
        List<Boolean> admitted = new ArrayList<>();
        cell.meter.measure(
                "admit",
                () -> admitted.add(cell.dispatcher.admit(spec, kind.queue).isEmpty()));
        if (admitted.get(0)) {
            accepted.add(spec.getId());
            cell.submit(spec, kind.queue);
        } else {
            refused++;
        }
    }

    /** Submits jobs of the class that can wait longest, more than the load's arrivals. */
    void submitBacklog(int jobs) {
        JobClass patient = deployment.classes.stream()
                .max(Comparator.comparingLong(kind -> kind.queue.getObjectiveMillis()))
                .orElseThrow();
        Queue queue = patient.queue.toBuilder().setStretch(BACKLOG_STRETCH).build();
        IntStream.range(0, jobs).forEach(number -> {
            JobSpec spec = patient.job("backlog-" + number, new Random(number));
            cell.submit(spec, queue);
        });
    }

    /** Submits jobs of the class whose jobs are all gangs. */
    void submitGangs(int jobs) {
        JobClass gangs = deployment.classes.stream()
                .filter(kind -> kind.gangShare == 1)
                .findFirst()
                .orElseThrow();
        IntStream.range(0, jobs)
                .forEach(number -> cell.submit(gangs.job("gang-" + number, new Random(number)), gangs.queue));
    }

    /** Returns the share of the jobs of a class that were completed, of those with the most tasks. */
    double completedShareOfWidest(String name, double widestShare) {
        List<String> widestFirst = submitted.getOrDefault(name, Map.of()).entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .map(Map.Entry::getKey)
                .toList();
        List<String> widest = widestFirst.subList(0, (int) Math.ceil(widestFirst.size() * widestShare));
        return (double) widest.stream().filter(this::completed).count() / Math.max(1, widest.size());
    }

    private boolean completed(String job) {
        return cell.table
                .job(job)
                .map(found -> found.phase() == JobPhase.COMPLETED)
                .orElse(false);
    }

    /** Returns the number of jobs that were completed within their objective. */
    long completedInTime() {
        return accepted.stream()
                .map(job -> cell.table.job(job).orElseThrow())
                .filter(DeploymentLoad::inTime)
                .count();
    }

    /** Returns the share of the submitted jobs of a class that were completed within their objective. */
    double shareInTime(String name) {
        Map<String, Integer> jobs = submitted.getOrDefault(name, Map.of());
        long inTime = jobs.keySet().stream()
                .filter(job -> cell.table.job(job).map(DeploymentLoad::inTime).orElse(false))
                .count();
        return (double) inTime / Math.max(1, jobs.size());
    }

    private static boolean inTime(Job job) {
        return job.phase() == JobPhase.COMPLETED
                && job.endedMillis() - job.acceptedMillis() <= JobPlan.objectiveMillis(job.spec(), job.queue());
    }

    long completed() {
        return accepted.stream()
                .filter(job -> cell.phase(job) == JobPhase.COMPLETED)
                .count();
    }

    double shareOfCoresInUse() {
        return cell.byAddress.values().stream()
                .mapToDouble(worker -> (double) worker.used().cpuMillis() / worker.capacity.cpuMillis())
                .average()
                .orElse(0);
    }

    private List<Long> tookMillis(JobClass kind) {
        return accepted.stream()
                .map(job -> cell.table.job(job).orElseThrow())
                .filter(job -> job.queue().equals(kind.queue) && job.phase() == JobPhase.COMPLETED)
                .map(job -> job.endedMillis() - job.acceptedMillis())
                .sorted()
                .toList();
    }

    private static long quantile(List<Long> sorted, double quantile) {
        return sorted.isEmpty() ? 0 : sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    /**
     * Prints the cost of a load.
     *
     * @param arguments the number of workers, the share of the deployment's rates, the number of seconds, the
     *     milliseconds between two calls of the dispatcher, and the deployment
     */
    public static void main(String[] arguments) {
        Deployment deployment = arguments.length > 4 ? Deployment.valueOf(arguments[4]) : Deployment.PANEL;
        int workers = arguments.length > 0 ? Integer.parseInt(arguments[0]) : deployment.workers;
        double share = arguments.length > 1 ? Double.parseDouble(arguments[1]) : (double) workers / deployment.workers;
        int seconds = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 10;
        DeploymentLoad load = new DeploymentLoad(1, deployment, workers, share);
        load.cell.stepMillis = arguments.length > 3 ? Long.parseLong(arguments[3]) : load.cell.stepMillis;
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Long> nanos = new TreeMap<>();
        load.cell.meter = (part, call) -> {
            long startNanos = threads.getCurrentThreadCpuTime();
            call.run();
            nanos.merge(part, threads.getCurrentThreadCpuTime() - startNanos, Long::sum);
        };
        // The first seconds include the compilation of the code and the growth of the load.
        load.run((long) (seconds * MILLIS_PER_SECOND));
        System.out.printf(
                Locale.ROOT,
                "%s: %d workers, %.2f of the load, a call each %d ms%n",
                deployment,
                workers,
                share,
                load.cell.stepMillis);
        for (int second = 0; second < seconds; second++) {
            nanos.clear();
            Map<ExaminedCounts.Part, Long> before = counts(load.cell.dispatcher.examined());
            long eventsBefore = load.cell.eventCount;
            int acceptedBefore = load.accepted.size();
            int refusedBefore = load.refused;
            load.run((long) MILLIS_PER_SECOND);
            StringBuilder line = new StringBuilder();
            counts(load.cell.dispatcher.examined())
                    .forEach((part, count) ->
                            line.append(String.format(Locale.ROOT, " %s=%d", part, count - before.get(part))));
            nanos.forEach((part, spent) ->
                    line.append(String.format(Locale.ROOT, " %s=%.0fms", part, spent / NANOS_PER_MILLI)));
            System.out.printf(
                    Locale.ROOT,
                    "events=%d accepted=%d refused=%d completed=%d coresInUse=%.2f cpu=%.0fms%s%n",
                    load.cell.eventCount - eventsBefore,
                    load.accepted.size() - acceptedBefore,
                    load.refused - refusedBefore,
                    load.completed(),
                    load.shareOfCoresInUse(),
                    nanos.values().stream().mapToLong(Long::longValue).sum() / NANOS_PER_MILLI,
                    line);
        }
        for (JobClass kind : deployment.classes) {
            String name = kind.queue.getName();
            System.out.printf(
                    Locale.ROOT,
                    "%s: %d submitted, %d accepted, %d completed (%d in time), median %d ms, 95th percentile %d ms,"
                            + " completed of all %.2f, of the widest tenth %.2f%n",
                    name,
                    load.submitted.getOrDefault(name, Map.of()).size(),
                    load.accepted.stream().filter(job -> job.startsWith(name)).count(),
                    load.tookMillis(kind).size(),
                    load.accepted.stream()
                            .filter(job -> job.startsWith(name))
                            .filter(job -> inTime(load.cell.table.job(job).orElseThrow()))
                            .count(),
                    quantile(load.tookMillis(kind), 0.5),
                    quantile(load.tookMillis(kind), 0.95),
                    load.completedShareOfWidest(name, 1),
                    load.completedShareOfWidest(name, 0.1));
        }
        System.out.println("advice calls: " + load.cell.adviceCalls);
        System.out.println("violations: " + load.cell.violations);
    }

    private static Map<ExaminedCounts.Part, Long> counts(ExaminedCounts examined) {
        Map<ExaminedCounts.Part, Long> counts = new TreeMap<>();
        for (ExaminedCounts.Part part : ExaminedCounts.Part.values()) {
            counts.put(part, examined.of(part));
        }
        return counts;
    }
}
