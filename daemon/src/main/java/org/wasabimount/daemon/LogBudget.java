package org.wasabimount.daemon;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many lines of each kind are logged in a second.
 *
 * <p>A kind is what a line says before its first field, such as {@code RUN failed run}; a flood of one kind then leaves
 * the others alone.
 */
final class LogBudget {

    private static final long SECOND_MILLIS = 1_000;

    private final int linesPerSecond;
    private final Map<String, Integer> written = new HashMap<>();
    private long secondBeganMillis;

    /**
     * Creates a budget.
     *
     * @param linesPerSecond most lines of one kind in a second
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
     * Begins a new second if the one before is over.
     *
     * @param nowMillis the current time
     * @return how many lines of which kinds were left out in the second before, empty if none were or it goes on
     */
    synchronized Map<String, Integer> leftOut(long nowMillis) {
        if (nowMillis - secondBeganMillis < SECOND_MILLIS && nowMillis >= secondBeganMillis) {
            return Map.of();
        }
        secondBeganMillis = nowMillis;
        Map<String, Integer> over = new HashMap<>();
        written.forEach((kind, lines) -> {
            if (lines > linesPerSecond) {
                over.put(kind, lines - linesPerSecond);
            }
        });
        written.clear();
        return over;
    }

    /**
     * Counts a line.
     *
     * @param message the line
     * @return whether it may be written
     */
    synchronized boolean take(String message) {
        return written.merge(kind(message), 1, Integer::sum) <= linesPerSecond;
    }
}
