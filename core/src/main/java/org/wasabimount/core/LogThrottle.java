package org.wasabimount.core;

import java.util.OptionalLong;

/** Limits a repeated log line to one per interval, and counts the events that it stands for. */
public final class LogThrottle {

    private final long intervalMillis;
    private long lineDueMillis = Long.MIN_VALUE;
    private long events;

    /**
     * Creates an instance that allows the first line at once.
     *
     * @param intervalMillis the minimum time between two lines, in milliseconds
     */
    public LogThrottle(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Counts an event.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the number of events since the last line, including this one; empty if no line may be logged now
     */
    public synchronized OptionalLong tryAcquire(long nowMillis) {
        events++;
        if (nowMillis < lineDueMillis) {
            return OptionalLong.empty();
        }
        OptionalLong counted = OptionalLong.of(events);
        events = 0;
        lineDueMillis = nowMillis + intervalMillis;
        return counted;
    }
}
