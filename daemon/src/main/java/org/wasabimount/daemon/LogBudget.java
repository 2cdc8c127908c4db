package org.wasabimount.daemon;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the number of lines of each kind that are logged per second.
 *
 * <p>The kind of a line is its text before the first {@code =}, such as {@code RUN failed run}. Each kind has a limit
 * of its own, so that a flood of one kind does not suppress lines of the others.
 */
final class LogBudget {

    private static final long SECOND_MILLIS = 1_000;

    private final int linesPerSecond;
    private final Map<String, Integer> linesByKind = new HashMap<>();
    private long secondStartMillis;

    /**
     * Creates a budget.
     *
     * @param linesPerSecond the maximum number of lines of one kind per second
     */
    LogBudget(int linesPerSecond) {
        this.linesPerSecond = linesPerSecond;
    }

    /** Returns the kind of a line. */
    static String kind(String message) {
        int field = message.indexOf('=');
        return field < 0 ? message : message.substring(0, field);
    }

    /**
     * Starts a new second if the current one has ended, or if the clock was set back.
     *
     * @param nowMillis the wall clock time, in milliseconds
     * @return the number of suppressed lines of each kind in the second that has ended; empty if there are none or if
     *     the current second has not ended
     */
    synchronized Map<String, Integer> suppressedLines(long nowMillis) {
        if (nowMillis - secondStartMillis < SECOND_MILLIS && nowMillis >= secondStartMillis) {
            return Map.of();
        }
        secondStartMillis = nowMillis;
        Map<String, Integer> suppressed = new HashMap<>();
        linesByKind.forEach((kind, lines) -> {
            if (lines > linesPerSecond) {
                suppressed.put(kind, lines - linesPerSecond);
            }
        });
        linesByKind.clear();
        return suppressed;
    }

    /**
     * Counts a line against the limit of its kind.
     *
     * @param message the line
     * @return true if the line may be logged, false if it is to be suppressed
     */
    synchronized boolean tryAcquire(String message) {
        return linesByKind.merge(kind(message), 1, Integer::sum) <= linesPerSecond;
    }
}
