package org.wasabimount.core.dispatch;

/** The outcome of one call to a worker. */
public enum OrderOutcome {
    /** The worker carried out the order, or had already carried it out. */
    DONE(false),
    /** The worker has received a call from a newer leader. */
    FENCED(true),
    /** The run, or a later run of its task, has already ended or been stopped on the worker. */
    SUPERSEDED(true),
    /** The lease that the order carried has expired. */
    LATE(true),
    /** The worker's free capacity is too small for the task. */
    NO_ROOM(true),
    /** The ticket is missing or no longer valid. */
    NO_TICKET(true),
    /** The worker currently rejects new work. */
    UNWELL(true),
    /** The worker cannot parse the order. */
    MALFORMED(true),
    /** Another incarnation responds at the worker's address. */
    OTHER_LIFE(true),
    /** A later incarnation with the worker's id responds at its address; the order was not sent. */
    LATER_LIFE(true),
    /** The order was not sent. */
    NOT_SENT(true),
    /** No response arrived: the worker may have carried out the order, or may still do so later. */
    NO_ANSWER(false);

    private final boolean refused;

    OrderOutcome(boolean refused) {
        this.refused = refused;
    }

    /**
     * Returns whether the order was certainly not carried out and never will be.
     *
     * @return true for every refusal
     */
    public boolean refused() {
        return refused;
    }
}
