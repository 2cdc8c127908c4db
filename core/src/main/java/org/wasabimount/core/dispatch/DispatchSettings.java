package org.wasabimount.core.dispatch;

import org.wasabimount.core.Validate;
import org.wasabimount.core.interference.SharingTerms;

/**
 * Fixed parameters of the dispatcher, from the deployment's settings.
 *
 * @param leaseMillis the length of a lease on the worker's clock, in milliseconds; the maximum that workers accept
 * @param gangMillis how long a task of a gang waits for the other tasks, in milliseconds
 * @param statusMillis how long the status of an ended job can be queried, in milliseconds
 * @param checkpointMillis the interval at which a task saves its progress, in milliseconds
 * @param stopMillis the maximum duration of a stop, in milliseconds
 * @param announceMillis the interval between two announcements of a worker, in milliseconds
 * @param contactMillis how long an undisturbed node may take to notice a change of a worker, in milliseconds, beside the
 *     interval of its announcements
 * @param sharing what the contract says about tasks that share a worker
 */
public record DispatchSettings(
        long leaseMillis,
        long gangMillis,
        long statusMillis,
        long checkpointMillis,
        long stopMillis,
        long announceMillis,
        long contactMillis,
        SharingTerms sharing) {

    /** Longest time from the sending of an announcement to its receipt; later ones are not acknowledged. */
    private static final long MAX_DELIVERY_MILLIS = 1_000;

    /** Longest time from the decision to send a start to its execution by a worker that answers. */
    private static final long MAX_START_MILLIS = 300;

    /**
     * Creates parameters for a contract that says nothing about tasks that share a worker.
     *
     * @param leaseMillis the length of a lease
     * @param gangMillis how long a task of a gang waits
     * @param statusMillis how long the status of an ended job can be queried
     * @param checkpointMillis the interval at which a task saves its progress
     * @param stopMillis the maximum duration of a stop
     * @param announceMillis the interval between two announcements
     * @param contactMillis how long a change of a worker may go unnoticed
     */
    public DispatchSettings(
            long leaseMillis,
            long gangMillis,
            long statusMillis,
            long checkpointMillis,
            long stopMillis,
            long announceMillis,
            long contactMillis) {
        this(
                leaseMillis,
                gangMillis,
                statusMillis,
                checkpointMillis,
                stopMillis,
                announceMillis,
                contactMillis,
                SharingTerms.NONE);
    }

    /** Validates the parameters. */
    public DispatchSettings {
        Validate.positive(leaseMillis, "leaseMillis");
        Validate.positive(gangMillis, "gangMillis");
        Validate.positive(statusMillis, "statusMillis");
        Validate.positive(checkpointMillis, "checkpointMillis");
        Validate.positive(announceMillis, "announceMillis");
        Validate.positive(contactMillis, "contactMillis");
        Validate.notNull(sharing, "sharing");
    }

    /**
     * Returns the same parameters with what the contract says about tasks that share a worker.
     *
     * @param terms the terms
     * @return the parameters
     */
    public DispatchSettings withSharing(SharingTerms terms) {
        return new DispatchSettings(
                leaseMillis,
                gangMillis,
                statusMillis,
                checkpointMillis,
                stopMillis,
                announceMillis,
                contactMillis,
                terms);
    }

    /**
     * Returns how long starts may rely on an announced capacity: a start may exceed a capacity that has shrunk only within
     * the time to notice it.
     *
     * @return the time from the sending of the announcement, in milliseconds
     */
    public long capacityTermMillis() {
        return contactMillis + announceMillis - MAX_START_MILLIS;
    }

    /**
     * Returns how long starts may rely on an announced capacity if it is not known when the announcement was sent.
     *
     * @return the time from its receipt, in milliseconds
     */
    public long receivedCapacityTermMillis() {
        return Math.max(announceMillis, capacityTermMillis() - MAX_DELIVERY_MILLIS);
    }
}
