package org.wasabimount.core.dispatch;

import org.wasabimount.core.Validate;

/**
 * Fixed parameters of the dispatcher, from the deployment's settings.
 *
 * @param leaseMillis how long a lease lasts on the worker's clock; the workers' maximum
 * @param gangMillis how long a task of a gang waits for the others
 * @param statusMillis how long an ended job can be asked about
 * @param checkpointMillis how often a task saves its progress
 * @param stopMillis how long a stop may take
 */
public record DispatchSettings(
        long leaseMillis, long gangMillis, long statusMillis, long checkpointMillis, long stopMillis) {

    /** Checks the parameters. */
    public DispatchSettings {
        Validate.positive(leaseMillis, "leaseMillis");
        Validate.positive(gangMillis, "gangMillis");
        Validate.positive(statusMillis, "statusMillis");
        Validate.positive(checkpointMillis, "checkpointMillis");
    }
}
