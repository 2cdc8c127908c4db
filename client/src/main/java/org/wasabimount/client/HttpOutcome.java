package org.wasabimount.client;

/** How an exchange ended. */
public enum HttpOutcome {
    /** The complete response was received. */
    ANSWERED,
    /** No byte of the request was sent. */
    NOT_SENT,
    /** No byte of the request was sent, because the response to the connection's check, which is returned, did not pass. */
    CHECK_FAILED,
    /** The connection was lost, or the response exceeded its size limit, before the response was complete. */
    CUT_SHORT,
    /** The response was not complete before the timeout. */
    TIMED_OUT
}
