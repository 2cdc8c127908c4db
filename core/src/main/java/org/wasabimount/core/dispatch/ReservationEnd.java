package org.wasabimount.core.dispatch;

import java.util.Locale;

/** Why a reservation, or the part of it on one worker, was given back before the tasks have started. */
public enum ReservationEnd {
    /** The worker is no longer usable, or has ended. */
    WORKER_UNUSABLE,
    /** The worker has announced less capacity than is reserved there. */
    WORKER_SHRUNK,
    /** Tasks were moved to another worker, which has room earlier. */
    MOVED,
    /** The step no longer waits, its place in the order has changed, its organisation's quota is used up, or its workers can't hold it any more. */
    OTHER;

    /**
     * Returns the cause's name in metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
