package org.wasabimount.core.dispatch;

/** What became of one call to a worker. */
public enum OrderOutcome {
    /** The worker did what it was told, or had done so before. */
    DONE(false),
    /** The worker has seen a newer leader. */
    FENCED(true),
    /** The run, or a later one of its task, ended or was stopped there. */
    SUPERSEDED(true),
    /** The lease that the order carried is over. */
    LATE(true),
    /** The task does not fit. */
    NO_ROOM(true),
    /** The ticket is missing, or is not valid any more. */
    NO_TICKET(true),
    /** The worker turns work away. */
    UNWELL(true),
    /** The worker can't read the order. */
    MALFORMED(true),
    /** Another life answers at the worker's address. */
    OTHER_LIFE(true),
    /** The order surely did not leave. */
    NOT_SENT(true),
    /** No answer came: the order may be carried out, also later. */
    NO_ANSWER(false);

    private final boolean refused;

    OrderOutcome(boolean refused) {
        this.refused = refused;
    }

    /**
     * Tells whether this order surely was not carried out and will not be.
     *
     * @return true for every refusal
     */
    public boolean refused() {
        return refused;
    }
}
