package org.wasabimount.core.dispatch;

/**
 * Tells workers that fail what they start from tasks that fail anywhere.
 *
 * <p>A few failures in a row take a worker out for a while; then one task at a time is tried there until one is done.
 */
final class WorkerHealth {

    /** Failures in a row, without one task done, after which a worker is distrusted. */
    private static final int MAX_FAILURES = 3;

    /** How long a worker is left alone, in milliseconds; about the length of the shortest disturbances. */
    private static final long QUARANTINE_MILLIS = 3_000;

    private int failures;
    private long quarantinedUntilMillis = Long.MIN_VALUE;

    void succeeded() {
        failures = 0;
    }

    void failed(long nowMillis) {
        failures++;
        if (failures >= MAX_FAILURES) {
            quarantinedUntilMillis = nowMillis + QUARANTINE_MILLIS;
        }
    }

    /** Takes a worker out at once, because it turned an order away. */
    void quarantine(long nowMillis) {
        failures = MAX_FAILURES;
        quarantinedUntilMillis = nowMillis + QUARANTINE_MILLIS;
    }

    boolean allowsRun(long nowMillis, int runs) {
        return failures < MAX_FAILURES || nowMillis >= quarantinedUntilMillis && runs == 0;
    }
}
