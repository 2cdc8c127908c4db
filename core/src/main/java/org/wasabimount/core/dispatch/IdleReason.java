package org.wasabimount.core.dispatch;

import java.util.Locale;

/** What a job waits for that has a ready step and no run placed. */
public enum IdleReason {
    /** The tasks of the job's organisation use so much of its quota that no task, or not all of a gang, fit into the rest. */
    NO_QUOTA,
    /** No worker of the queue's pool is usable. */
    NO_USABLE_WORKER,
    /** The advice service has not yet named enough workers that may run the step. */
    NO_ADVICE,
    /** No usable worker may run the step, or those that may can't hold all tasks of a gang. */
    NO_ELIGIBLE_WORKER,
    /** The step's tasks run alone and wait for workers of their own. */
    ISOLATION,
    /** A gang has no reservation: the limits allow none, or the workers that may run it are reserved for others. */
    NO_RESERVATION,
    /** Room on the workers that may run the step is free, but reserved for gangs. */
    ROOM_RESERVED,
    /** Room on the workers that may run the step, or that is reserved for it, is occupied by runs. */
    NO_ROOM,
    /** The reserved room is occupied only by runs that last longer than estimated. */
    OVERDUE_RUN,
    /** Room is free, but there is no valid ticket for it. */
    NO_TICKET,
    /** A call for advice is wanted, and no VM is available for it. */
    NO_CALLER,
    /** Room and tickets are there: a placement is being decided or committed. */
    START_UNDER_WAY,
    /** Too many jobs are idle for the sample to examine the job. */
    NOT_SAMPLED;

    /**
     * Returns the reason's name in metrics and log lines.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
