package org.wasabimount.core.dispatch;

import org.wasabimount.core.Validate;

/**
 * Fixed parameters of the dispatcher, from the deployment's settings.
 *
 * @param leaseMillis the length of a lease on the worker's clock, in milliseconds; the maximum that workers accept
 * @param gangMillis how long a task of a gang waits for the other tasks, in milliseconds
 * @param statusMillis how long the status of an ended job can be queried, in milliseconds
 * @param checkpointMillis the interval at which a task saves its progress, in milliseconds
 * @param stopMillis the maximum duration of a stop, in milliseconds
 */
public record DispatchSettings(
        long leaseMillis, long gangMillis, long statusMillis, long checkpointMillis, long stopMillis) {

    /** Validates the parameters. */
    public DispatchSettings {
        Validate.positive(leaseMillis, "leaseMillis");
        Validate.positive(gangMillis, "gangMillis");
        Validate.positive(statusMillis, "statusMillis");
        Validate.positive(checkpointMillis, "checkpointMillis");
    }
}
