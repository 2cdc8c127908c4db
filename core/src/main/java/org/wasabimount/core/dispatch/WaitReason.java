package org.wasabimount.core.dispatch;

import java.util.Locale;

/** Why a ready step has tasks that are not placed. */
public enum WaitReason {
    /** The tasks of the job's organisation use so much of its quota that no task, or not all of a gang, fit into the rest. */
    NO_QUOTA,
    /** No worker of the queue's pool is usable. */
    NO_USABLE_WORKER,
    /** The advice service has not yet named a worker that may run the step. */
    NO_ADVICE,
    /** No usable worker may run the step. */
    NO_ELIGIBLE_WORKER,
    /** The workers that have room may run the step, but hold no valid ticket for it. */
    NO_TICKET,
    /** No worker that may run the step has room for a task, or for all tasks of a gang. */
    NO_ROOM,
    /** Too many steps are ahead in the scheduling order for the sample to examine the step. */
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
