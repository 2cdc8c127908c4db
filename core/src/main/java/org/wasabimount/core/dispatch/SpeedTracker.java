package org.wasabimount.core.dispatch;

import java.util.function.LongSupplier;

import org.wasabimount.core.speed.WorkerSpeeds;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * Learns the workers' speeds from the pace of their runs, and prefers fast workers for steps that a slow one could not
 * finish in time.
 *
 * <p>Designed for pools of unlike workers at a load below their capacity: a step with time left takes any worker, so that
 * fast ones stay free for steps that are late or whose chain of steps leaves no time.
 */
final class SpeedTracker {

    /** Time that the longest task of a step usually takes, as a multiple of the declared time. */
    private static final double LONGEST_TASK = 2;

    private final WorkerSpeeds speeds = new WorkerSpeeds();

    /** Records the pace of a run, compared with the time declared for its step. A stalled run teaches nothing. */
    void record(TrackedWorker worker, TrackedRun run, double pace, long nowMillis) {
        if (pace > 0) {
            String step = run.id().task().stepId().toString();
            speeds.record(run.id().toString(), step, name(worker), kind(worker), pace, nowMillis);
        }
    }

    /** Returns the speed of a worker compared with the usual one, {@link WorkerSpeeds#USUAL} if nothing is known. */
    double speed(TrackedWorker worker, long nowMillis) {
        return speeds.speed(name(worker), kind(worker), nowMillis);
    }

    /**
     * Returns the preference among workers.
     *
     * @param clock returns the current monotonic time, in milliseconds
     */
    WorkerPreference preference(LongSupplier clock) {
        return (step, worker) -> slowdown(step, worker, clock.getAsLong());
    }

    private double slowdown(ReadyStep step, TrackedWorker worker, long nowMillis) {
        if (step.step().getLongRunning()) {
            return 1;
        }
        double slowdown = 1 / speed(worker, nowMillis);
        double additionalMillis = (LONGEST_TASK * slowdown - 1) * step.step().getEstimateMillis();
        boolean inTime = !step.late() && step.latestStartMillis() - nowMillis >= additionalMillis;
        return inTime ? 1 : slowdown;
    }

    private static String name(TrackedWorker worker) {
        return worker.entry().incarnation().getWorker();
    }

    /** Returns the worker's first label, which names its kind. */
    private static String kind(TrackedWorker worker) {
        WorkerLife life = worker.entry().incarnation();
        return life.getLabelsCount() == 0 ? "" : life.getLabels(0);
    }
}
