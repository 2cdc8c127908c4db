package org.wasabimount.core.routing;

import org.wasabimount.core.ResultCode;

/** The result of one attempt to send a request to a backend server. */
public enum AttemptResult {
    /** The complete response was received. */
    ANSWERED(false, false, ResultCode.OK),
    /** The complete response was received, and it reports a server error. */
    SERVER_ERROR(true, true, ResultCode.OK),
    /** No byte of the request was sent. */
    NOT_SENT(true, false, ResultCode.BACKEND_UNREACHABLE),
    /** The connection was closed before the complete response was received. */
    CUT_SHORT(true, true, ResultCode.ANSWER_LOST),
    /** The response was not received before the attempt's timeout. */
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
     * Returns whether the result counts as a failure of the server.
     *
     * @return true unless a complete response without a server error was received
     */
    public boolean failure() {
        return failure;
    }

    /**
     * Returns whether the request may have run, in which case it may be retried only if it is repeatable.
     *
     * @return false if the request certainly did not run or was answered without a server error
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns whether there is a response that can be returned to the caller.
     *
     * @return true if the complete response was received, even if it reports a server error
     */
    public boolean hasResponse() {
        return code == ResultCode.OK;
    }

    /**
     * Returns the result code to report to the caller if the request is not retried after this result.
     *
     * @return the result code; {@link ResultCode#OK} if there is a response
     */
    public ResultCode code() {
        return code;
    }
}
