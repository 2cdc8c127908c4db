package org.wasabimount.core.interference;

import java.util.HashMap;
import java.util.Map;

import org.wasabimount.core.job.RunId;

/** What an {@link InterferenceLearner} remembers of one worker: the paces of its runs and how fast it usually is. */
public final class WorkerPaces {

    /** Share by which one comparison moves the usual pace. */
    private static final double USUAL_SHARE = 0.1;

    /** Number of comparisons from which the usual pace is known. */
    private static final int MIN_COMPARISONS = 5;

    /** How long a worker whose own speed has changed teaches nothing, in milliseconds. */
    private static final long UNSTEADY_MILLIS = 3_000;

    private final Map<RunId, RunPace> runs = new HashMap<>();
    private final int group;
    private KindSet listed = KindSet.EMPTY;
    private double usualLogPace;
    private int comparisons;
    private long unsteadyUntilMillis = Long.MIN_VALUE;
    private int generation;

    WorkerPaces(int group) {
        this.group = group;
    }

    int group() {
        return group;
    }

    Map<RunId, RunPace> runs() {
        return runs;
    }

    /** Returns the kinds in the worker's latest list. */
    KindSet listed() {
        return listed;
    }

    void listed(KindSet kinds) {
        listed = kinds;
    }

    /** Returns the generation of the kinds' numbers in which the worker was listed last. */
    int generation() {
        return generation;
    }

    void generation(int newer) {
        generation = newer;
    }

    /** Records how much faster the worker was than usual in a comparison with another worker. */
    void compared(double logPaceError) {
        usualLogPace += USUAL_SHARE * logPaceError;
        comparisons++;
    }

    double usualLogPace() {
        return usualLogPace;
    }

    boolean usualPaceKnown() {
        return comparisons >= MIN_COMPARISONS;
    }

    /** Records that a task's pace changed though nothing else did beside it. */
    void speedChanged(long nowMillis) {
        unsteadyUntilMillis = nowMillis + UNSTEADY_MILLIS;
    }

    boolean steady(long nowMillis) {
        return nowMillis >= unsteadyUntilMillis;
    }
}
