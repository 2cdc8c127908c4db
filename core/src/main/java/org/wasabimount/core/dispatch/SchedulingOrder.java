package org.wasabimount.core.dispatch;

import java.util.Comparator;

/**
 * The orders in which ready steps can be considered for placement.
 *
 * <p>Designed for many small urgent jobs beside a few large jobs that have slack, at a load near or above the workers'
 * capacity.
 */
public enum SchedulingOrder {

    /** By time of acceptance; the baseline for comparison. */
    ARRIVAL(Comparator.comparingLong(step -> step.job().acceptedMillis())),

    /**
     * Steps that can still meet their objective before late ones, then the most urgent priority, then those within their
     * organisations' shares before those beyond, then by latest start time. Jobs of all other priorities are ordered by latest start time alone, because their objectives already
     * define how long they can wait.
     */
    LATEST_START(Comparator.comparing(ReadyStep::late)
            .thenComparing(step -> step.queue().getPriority() > 0)
            .thenComparing(ReadyStep::beyondShare)
            .thenComparingLong(ReadyStep::latestStartMillis));

    private final Comparator<ReadyStep> comparator;

    SchedulingOrder(Comparator<ReadyStep> comparator) {
        this.comparator = comparator.thenComparing(step -> step.id().toString());
    }

    Comparator<ReadyStep> comparator() {
        return comparator;
    }
}
