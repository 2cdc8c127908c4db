package org.wasabimount.core.routing;

import org.wasabimount.core.ResultCode;

/** How an attempt to have a backend server answer a request ended. */
public enum AttemptResult {
    /** The whole answer came. */
    ANSWERED(false, false, ResultCode.OK),
    /** The whole answer came, and it is a server error. */
    SERVER_ERROR(true, true, ResultCode.OK),
    /** No byte of the request left. */
    NOT_SENT(true, false, ResultCode.BACKEND_UNREACHABLE),
    /** The connection ended before the whole answer came. */
    CUT_SHORT(true, true, ResultCode.ANSWER_LOST),
    /** The answer did not come in time. */
    TIMED_OUT(true, true, ResultCode.ANSWER_LATE);

    private final boolean failure;
    private final boolean mayHaveRun;
    private final ResultCode code;

    AttemptResult(boolean failure, boolean mayHaveRun, ResultCode code) {
        this.failure = failure;
        this.mayHaveRun = mayHaveRun;
        this.code = code;
    }

    /**
     * Tells whether the result speaks against the server.
     *
     * @return true for anything but a good answer
     */
    public boolean failure() {
        return failure;
    }

    /**
     * Tells whether the request may have run, so that only a repeatable one may be tried again.
     *
     * @return true unless the request surely did not run or was answered
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether there is an answer that can be handed to the caller.
     *
     * @return true if the whole answer came
     */
    public boolean hasResponse() {
        return code == ResultCode.OK;
    }

    /**
     * Returns the code for the caller when the request is given up after this result.
     *
     * @return the code
     */
    public ResultCode code() {
        return code;
    }
}
