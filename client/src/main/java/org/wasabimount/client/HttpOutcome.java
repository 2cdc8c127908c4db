package org.wasabimount.client;

/** How an exchange ended. */
public enum HttpOutcome {
    /** The whole answer came. */
    ANSWERED,
    /** No byte of the request left. */
    NOT_SENT,
    /** The connection ended before the whole answer came. */
    CUT_SHORT,
    /** The answer did not come in time. */
    TIMED_OUT
}
