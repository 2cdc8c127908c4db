package org.wasabimount.core.dispatch;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/**
 * The load of the deployment dwd-panel-grown on a simulated cell, in virtual time and with fixed seeds.
 *
 * <p>The main method prints what the dispatcher examines and the processor time that it takes.
 */
final class PanelLoad {

    /** Number of workers of the deployment, for which the rates are declared. */
    static final int WORKERS = 246;

    static final Capacity WORKER = new Capacity(64_000, 128_000, 0);
    static final long SETTLE_MILLIS = 1_000;

    private static final int CALLERS = 32;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    final SimulatedCell cell;
    final List<String> accepted = new ArrayList<>();
    int refused;
    private final Random random;
    private final List<JobClass> classes;
    private final double[] nextMillis;

    /** One kind of job of the deployment. */
    private record JobClass(
            Queue queue,
            double perSecond,
            double secondStepShare,
            int tasks,
            long cpuMillis,
            long estimateMillis,
            boolean gang,
            int eligiblePercent) {

        JobSpec job(String id, boolean twoSteps) {
            Step step = Step.newBuilder()
                    .setCount(tasks)
                    .setSize(new Capacity(cpuMillis, 500, 0).toQuantity())
                    .setEstimateMillis(estimateMillis)
                    .setGang(gang)
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
     * @param workers the number of workers
     * @param share the share of the deployment's rates
     */
    PanelLoad(long seed, int workers, double share) {
        random = new Random(seed);
        classes = List.of(
                new JobClass(
                        queue("panel-reweight", 1, 1_000, 559, 8.06), 3.33 * share, 0.2, 20, 18_000, 5_000, true, 25),
                new JobClass(
                        queue("diary-coding", 1, 3_000, 104, 1.43), 8.62 * share, 0.5, 25, 6_900, 2_200, false, 45),
                new JobClass(queue("page-check", 0, 250, 14.3, 0.208), 61.8 * share, 0, 3, 9_900, 1_000, false, 70));
        cell = new SimulatedCell(seed);
        cell.putQueues(classes.stream().map(JobClass::queue).toList());
        classes.forEach(kind -> cell.eligiblePercents.put(kind.queue.getName(), kind.eligiblePercent));
        cell.addresses(workers).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.dispatcher.callers(
                IntStream.range(0, CALLERS).mapToObj(number -> "front" + number).toList());
        cell.run(SETTLE_MILLIS);
        nextMillis = classes.stream().mapToDouble(this::nextArrivalMillis).toArray();
    }

    private static Queue queue(
            String name, int priority, long objectiveMillis, double callMillis, double workerMillis) {
        return Queue.newBuilder()
                .setName(name)
                .setHost(name)
                .setPathPrefix("/")
                .setPool("pool")
                .setPriority(priority)
                .setTimeoutMillis(3_000)
                .setObjectiveMillis(objectiveMillis)
                .setStretch(1)
                .setMaxAttempts(4)
                .setAdvice(AdviceCost.newBuilder()
                        .setCallMillis(callMillis)
                        .setWorkerMillis(workerMillis)
                        .setValidMillis(2_500))
                .build();
    }

    private double nextArrivalMillis(JobClass kind) {
        return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / kind.perSecond;
    }

    /** Submits the jobs that arrive during a time while the cell runs. */
    void run(long millis) {
        long untilMillis = cell.nowMillis() + millis;
        long startMillis = cell.nowMillis();
        double[] arrivals = nextMillis.clone();
        while (cell.nowMillis() < untilMillis) {
            for (int number = 0; number < arrivals.length; number++) {
                while (startMillis + arrivals[number] <= cell.nowMillis()) {
                    submit(classes.get(number));
                    arrivals[number] += nextArrivalMillis(classes.get(number));
                }
            }
            cell.run(cell.stepMillis);
        }
        for (int number = 0; number < arrivals.length; number++) {
            nextMillis[number] = arrivals[number] - millis;
        }
    }

    private void submit(JobClass kind) {
        JobSpec spec = kind.job(
                kind.queue.getName() + "-" + (accepted.size() + refused), random.nextDouble() < kind.secondStepShare);
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

    long completed() {
        return accepted.stream()
                .filter(job -> cell.phase(job) == JobPhase.COMPLETED)
                .count();
    }

    private double shareOfCoresInUse() {
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
     * Prints the cost of the load.
     *
     * @param arguments the number of workers, the share of the deployment's rates, the number of seconds, and the
     *     milliseconds between two calls of the dispatcher
     */
    public static void main(String[] arguments) {
        int workers = arguments.length > 0 ? Integer.parseInt(arguments[0]) : WORKERS;
        double share = arguments.length > 1 ? Double.parseDouble(arguments[1]) : (double) workers / WORKERS;
        int seconds = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 10;
        PanelLoad load = new PanelLoad(1, workers, share);
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
                Locale.ROOT, "%d workers, %.2f of the load, a call each %d ms%n", workers, share, load.cell.stepMillis);
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
        for (JobClass kind : load.classes) {
            System.out.printf(
                    Locale.ROOT,
                    "%s: %d of %d accepted jobs completed, median %d ms, 95th percentile %d ms%n",
                    kind.queue.getName(),
                    load.tookMillis(kind).size(),
                    load.accepted.stream()
                            .filter(job -> job.startsWith(kind.queue.getName()))
                            .count(),
                    quantile(load.tookMillis(kind), 0.5),
                    quantile(load.tookMillis(kind), 0.95));
        }
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
