package org.wasabimount.core.dispatch;

import java.util.function.LongSupplier;

/**
 * Distinguishes workers that fail the tasks they start from tasks that fail on every worker.
 *
 * <p>After several consecutive failures a worker is quarantined for a fixed time. After that it receives one task at a
 * time until one succeeds.
 */
final class WorkerHealth {

    /** Number of consecutive failures, without a completed task in between, after which a worker is quarantined. */
    private static final int MAX_FAILURES = 3;

    /** Duration of a quarantine, in milliseconds; about the length of the shortest disturbances. */
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

    /** Quarantines the worker at once, because it rejected an order or is much slower than others. */
    void quarantine(long nowMillis) {
        failures = MAX_FAILURES;
        quarantinedUntilMillis = nowMillis + QUARANTINE_MILLIS;
    }

    /**
     * Returns whether the worker may get a run.
     *
     * @param unprovenRuns counts the runs on the worker of which it is not known yet whether they will fail
     */
    boolean allowsRun(long nowMillis, LongSupplier unprovenRuns) {
        return failures < MAX_FAILURES || nowMillis >= quarantinedUntilMillis && unprovenRuns.getAsLong() == 0;
    }
}
