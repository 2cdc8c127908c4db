package org.wasabimount.core.dispatch;

import java.util.EnumMap;
import java.util.Map;

/** Counts the items that a dispatcher has examined to take its decisions; its processor time grows with them. */
final class ExaminedCounts {

    private final Map<Part, Long> counts = new EnumMap<>(Part.class);

    /** The parts of the dispatcher's work. */
    enum Part {
        /** Workers and runs examined for due orders. */
        TICK,
        /** Runs examined because a run or a job ended. */
        END,
        /** Tasks examined to collect the ready steps. */
        READY,
        /** Workers, tasks, tickets and runs examined to place tasks. */
        ROUND,
        /** Workers and tasks examined to admit a job. */
        ADMIT
    }

    void add(Part part, long items) {
        counts.merge(part, items, Long::sum);
    }

    long of(Part part) {
        return counts.getOrDefault(part, 0L);
    }
}
