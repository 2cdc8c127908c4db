package org.wasabimount.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Tells workers on which tasks stand still or crawl from tasks that merely take longer than declared.
 *
 * <p>The load it answers: for seconds, some workers turn several times slower or stop working, and go on renewing their
 * leases and taking orders. Declared times are rough, so a run is compared with what runs usually make of them, and a
 * worker is judged by the runs of two jobs at least, unless a run stands still.
 */
final class SlowWorkerDetector {

    /** Share of the usual pace below which a run is slow; declared times and workers differ by less. */
    private static final double SLOW_SHARE = 0.4;

    /** Pace below which a run stands still; progress comes in whole percent. */
    private static final double STALLED_PACE = 0.03;

    /** Measures from which the usual pace is taken: a few lists of each of the workers of a small pool. */
    private static final int MAX_SAMPLES = 64;

    /** Measures without which nothing is judged, after a start or under a new leader. */
    private static final int MIN_SAMPLES = 16;

    private final Deque<Double> recentPaces = new ArrayDeque<>();

    /**
     * What one list showed of one run.
     *
     * @param run the run
     * @param pace the share of the declared speed since the measure before
     */
    record PaceSample(TrackedRun run, double pace) {}

    /** Returns the slow runs among those measured by one list of a worker, empty if the worker is as fast as others. */
    List<TrackedRun> slowRuns(List<PaceSample> paceSamples) {
        paceSamples.forEach(sample -> addSample(sample.pace));
        if (paceSamples.isEmpty() || recentPaces.size() < MIN_SAMPLES) {
            return List.of();
        }
        double limit = SLOW_SHARE * medianPace();
        List<PaceSample> slowRuns =
                paceSamples.stream().filter(sample -> sample.pace < limit).toList();
        // A task that was slow where it ran before says more of itself than of its worker.
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

    /** Returns the median of what was measured lately: a few slow workers do not move it. */
    private double medianPace() {
        return recentPaces.stream()
                .sorted()
                .skip(recentPaces.size() / 2)
                .findFirst()
                .orElse(1.0);
    }
}
