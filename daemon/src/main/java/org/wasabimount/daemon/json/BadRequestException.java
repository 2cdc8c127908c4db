package org.wasabimount.daemon.json;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;

/** Thrown when a request is invalid; carries the refusal to send to the client. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param code why the request is refused
     * @param detail the error, in one sentence
     */
    public BadRequestException(ResultCode code, String detail) {
        super(detail);
        this.refusal = Refusal.of(code, detail);
    }

    /**
     * Returns the refusal to send to the client.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
