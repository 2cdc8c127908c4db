package org.wasabimount.core.dispatch;

import java.util.Comparator;

/**
 * The orders in which ready steps may be considered.
 *
 * <p>The load they answer: many small urgent jobs beside few large ones that have slack, near or above the workers'
 * capacity.
 */
public enum SchedulingOrder {

    /** By arrival, as a baseline. */
    ARRIVAL(Comparator.comparingLong(step -> step.job().acceptedMillis())),

    /**
     * What can be in time before what is late; the most urgent priority first, and then by the last moment to start.
     * Jobs of the other priorities compete by that moment alone: their objectives already say how long they can wait.
     */
    LATEST_START(Comparator.comparing(ReadyStep::late)
            .thenComparing(step -> step.queue().getPriority() > 0)
            .thenComparingLong(ReadyStep::latestStartMillis));

    private final Comparator<ReadyStep> comparator;

    SchedulingOrder(Comparator<ReadyStep> comparator) {
        this.comparator = comparator.thenComparing(step -> step.id().toString());
    }

    Comparator<ReadyStep> comparator() {
        return comparator;
    }
}
