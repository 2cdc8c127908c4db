package org.wasabimount.core;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The numbered results that are returned to callers, operators and workers. */
public enum ResultCode {
    /** The request ran, or the write was accepted. */
    OK(0, 200, Outcome.RAN, false),

    /** The body or a field of the request could not be read. */
    MALFORMED(1001, 400, Outcome.NOT_RUN, false),
    /** The body is larger than the limit. */
    TOO_LARGE(1002, 413, Outcome.NOT_RUN, false),
    /** The kind of resource is unknown. */
    UNKNOWN_KIND(1003, 404, Outcome.NOT_RUN, false),
    /** A value is outside its range. */
    INVALID_VALUE(1004, 422, Outcome.NOT_RUN, false),
    /** One task is larger than every worker of the cell, or what has to run at once exceeds the organisation's quota. */
    NEVER_FITS(1005, 422, Outcome.NOT_RUN, false),
    /** The path or method is unknown. */
    NO_SUCH_ROUTE(1006, 404, Outcome.NOT_RUN, false),
    /** An idempotency key is missing or does not have the required form. */
    BAD_KEY(1007, 400, Outcome.NOT_RUN, false),
    /** An idempotency key is older than the ledger's retention. */
    KEY_TOO_OLD(1008, 409, Outcome.UNKNOWN, false),
    /** The same idempotency key was used with a different body. */
    KEY_REUSED(1009, 422, Outcome.NOT_RUN, false),

    /** The credential is missing or wrong. */
    UNAUTHENTICATED(1101, 401, Outcome.NOT_RUN, false),
    /** The resource does not exist, or belongs to another organisation. */
    NOT_FOUND(1102, 404, Outcome.NOT_RUN, false),

    /** The resource has changed since the version given in the write. */
    VERSION_CONFLICT(1201, 409, Outcome.NOT_RUN, false),
    /** The watch starts before the oldest retained change; the client has to list again. */
    HISTORY_GONE(1202, 410, Outcome.NOT_RUN, false),
    /** The request would exceed the organisation's quota. */
    OVER_QUOTA(1203, 403, Outcome.NOT_RUN, false),

    /** The organisation's queue is full. */
    QUEUE_FULL(1301, 429, Outcome.NOT_RUN, true),
    /** The deadline would pass before a slot becomes free. */
    DEADLINE_UNREACHABLE(1302, 503, Outcome.NOT_RUN, true),
    /** No backend server of the service is announced. */
    NO_BACKEND_SERVER(1303, 503, Outcome.NOT_RUN, true),
    /** This entry VM is stopping. */
    DRAINING(1304, 503, Outcome.NOT_RUN, true),
    /** The backend server could not be reached, and no byte was sent. */
    BACKEND_UNREACHABLE(1305, 502, Outcome.NOT_RUN, true),
    /** The client exceeds its request rate. */
    RATE_LIMITED(1306, 429, Outcome.NOT_RUN, true),
    /** The organisation has no retry budget left for another attempt. */
    RETRY_BUDGET_SPENT(1307, 503, Outcome.UNKNOWN, true),
    /** The deadline passed while the request was waiting. */
    DEADLINE_PASSED(1308, 504, Outcome.NOT_RUN, true),
    /** The organisation sends more than it is owed, and there is no room to lend. */
    SHARE_EXCEEDED(1309, 503, Outcome.NOT_RUN, true),
    /** This VM holds too many bytes of unfinished requests. */
    INTAKE_FULL(1310, 503, Outcome.NOT_RUN, true),
    /** The body of the request has not arrived in time. */
    BODY_STALLED(1311, 503, Outcome.NOT_RUN, true),

    /** The group has no reachable leader. */
    NO_LEADER(1401, 503, Outcome.NOT_RUN, true),
    /** This replica is not the group's leader. */
    NOT_LEADER(1402, 503, Outcome.NOT_RUN, true),
    /** The leader was lost before the write was known to be committed. */
    COMMIT_UNKNOWN(1403, 504, Outcome.UNKNOWN, true),
    /** The daemon has not caught up with the accepted configuration. */
    NOT_READY(1404, 503, Outcome.NOT_RUN, true),

    /** The request was sent, but its response was lost or truncated. */
    ANSWER_LOST(1501, 502, Outcome.UNKNOWN, false),
    /** The request was sent, but the deadline passed before its response arrived. */
    ANSWER_LATE(1502, 504, Outcome.UNKNOWN, false),
    /** The first request with this key is still running. */
    IN_PROGRESS(1503, 409, Outcome.UNKNOWN, true),
    /** A request with this key ran or may have run; its response is not known. */
    OUTCOME_UNKNOWN(1504, 409, Outcome.UNKNOWN, false),
    /** The request ran, but its response was too large to be kept. */
    ANSWER_NOT_KEPT(1505, 409, Outcome.RAN, false),

    /** The daemon failed because of an internal error. */
    INTERNAL(1901, 500, Outcome.UNKNOWN, false);

    private static final Map<Integer, ResultCode> BY_NUMBER =
            Arrays.stream(values()).collect(Collectors.toMap(ResultCode::number, Function.identity()));

    private final int number;
    private final int httpStatus;
    private final Outcome outcome;
    private final boolean retryable;

    ResultCode(int number, int httpStatus, Outcome outcome, boolean retryable) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.outcome = outcome;
        this.retryable = retryable;
    }

    /** Whether the work of a request was done. */
    public enum Outcome {
        /** The work was done. */
        RAN,
        /** The work was certainly not done. */
        NOT_RUN,
        /** The work may have been done. */
        UNKNOWN
    }

    /**
     * Returns the code with a given number.
     *
     * @param number the code's number
     * @return the code, or {@link #INTERNAL} if there is none
     */
    public static ResultCode of(int number) {
        return BY_NUMBER.getOrDefault(number, INTERNAL);
    }

    /**
     * Returns the code's number.
     *
     * @return the number, zero for {@link #OK}
     */
    public int number() {
        return number;
    }

    /**
     * Returns the HTTP status that is sent with the code.
     *
     * @return a status from 200 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether the work of the request was done.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns whether the same request may succeed later.
     *
     * @return true if a later attempt may succeed
     */
    public boolean retryable() {
        return retryable;
    }
}
