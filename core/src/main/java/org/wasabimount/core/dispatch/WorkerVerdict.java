package org.wasabimount.core.dispatch;

import java.util.Locale;

/** What a step may expect of a worker now. */
public enum WorkerVerdict {
    /** Tasks of the step would be placed there. */
    CHOSEN,
    /** A task could be placed there, and others are better or enough. */
    POSSIBLE,
    /** The worker has announced that it leaves. */
    DRAINING,
    /** The worker has not answered the latest call. */
    SILENT,
    /** The worker is quarantined, has not listed its runs, or its capacity is not known. */
    UNUSABLE,
    /** The worker lacks the label that the step requires. */
    LABEL,
    /** A waiting task of the step has just failed there. */
    FAILED_RECENTLY,
    /** The advice service does not allow the step there. */
    NOT_ALLOWED,
    /** The worker is smaller than a task. */
    TOO_SMALL,
    /** Other runs occupy the worker. */
    NO_ROOM,
    /** The room on the worker is kept for others. */
    RESERVED,
    /** The advice service has not been asked about the worker, or has not answered. */
    NOT_ADVISED,
    /** The worker may run the step, and the ticket for it has expired. */
    NO_TICKET;

    /**
     * Returns the verdict's name for operators.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
