package org.wasabimount.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * Distinguishes workers on which tasks stall or run slowly from tasks that merely take longer than declared.
 *
 * <p>Designed for workers that become several times slower or stop working for seconds, while they still renew their
 * leases and accept orders. Declared run times are rough, so the pace of a run relative to its declared time is
 * compared with the median pace of recent samples. The pace is that on a worker of the usual speed, so that a worker of a
 * slow kind is compared with its own usual pace. A worker counts as slow only if all its sampled runs are slow, and either
 * they belong to at least two jobs or one of them has stalled.
 */
final class SlowWorkerDetector {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /**
     * Share of the median pace below which a run counts as slow; declared times and workers differ by less than this.
     */
    private static final double SLOW_SHARE = 0.4;

    /** Pace below which a run counts as stalled; above zero because progress is reported in whole percent. */
    private static final double STALLED_PACE = 0.03;

    /** Number of recent samples over which the median is taken: a few lists from each worker of a small pool. */
    private static final int MAX_SAMPLES = 64;

    /** Number of samples required before any run is classified, after a start or under a new leader. */
    private static final int MIN_SAMPLES = 16;

    private final Deque<Double> recentPaces = new ArrayDeque<>();
    private final SpeedTracker speeds;

    /**
     * Creates the detector.
     *
     * @param speeds the workers' usual speeds, to which the detector adds its samples
     */
    SlowWorkerDetector(SpeedTracker speeds) {
        this.speeds = speeds;
    }

    /**
     * The pace of one run, taken from one list.
     *
     * @param run the run
     * @param pace the share of the declared speed since the previous sample
     */
    record PaceSample(TrackedRun run, double pace) {}

    /** Returns the slow runs among the samples of one worker's list, empty if the worker is not slower than others. */
    List<TrackedRun> slowRuns(TrackedWorker worker, List<PaceSample> listedSamples, long nowMillis) {
        double speed = speeds.speed(worker, nowMillis);
        List<PaceSample> paceSamples = listedSamples.stream()
                .map(sample -> new PaceSample(sample.run, sample.pace / speed))
                .toList();
        List<TrackedRun> slowRuns = slowRuns(paceSamples);
        listedSamples.forEach(sample -> speeds.record(worker, sample.run, sample.pace, nowMillis));
        if (!slowRuns.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER slow worker={0} speed={1} runs={2}",
                    worker.entry().id(),
                    String.format(Locale.ROOT, "%.2f", speed),
                    slowRuns.stream().map(TrackedRun::id).toList());
        }
        return slowRuns;
    }

    private List<TrackedRun> slowRuns(List<PaceSample> paceSamples) {
        paceSamples.forEach(sample -> addSample(sample.pace));
        if (paceSamples.isEmpty() || recentPaces.size() < MIN_SAMPLES) {
            return List.of();
        }
        double limit = SLOW_SHARE * medianPace();
        List<PaceSample> slowRuns =
                paceSamples.stream().filter(sample -> sample.pace < limit).toList();
        // A task that was already slow on another worker is likely slow itself, so only first runs are counted.
        long jobs = slowRuns.stream()
                .filter(sample -> sample.run.id().number() == 1)
                .map(sample -> sample.run.id().task().job())
                .distinct()
                .count();
        boolean stalled = slowRuns.stream().anyMatch(sample -> sample.pace < STALLED_PACE);
        boolean workerIsSlow = slowRuns.size() == paceSamples.size() && (jobs > 1 || stalled);
        return workerIsSlow ? slowRuns.stream().map(PaceSample::run).toList() : List.of();
    }

    private void addSample(double pace) {
        recentPaces.addLast(pace);
        if (recentPaces.size() > MAX_SAMPLES) {
            recentPaces.removeFirst();
        }
    }

    /** Returns the median of the recent samples; a few slow workers do not affect it. */
    private double medianPace() {
        return recentPaces.stream()
                .sorted()
                .skip(recentPaces.size() / 2)
                .findFirst()
                .orElse(1.0);
    }
}
