package org.wasabimount.daemon.json;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;

/** Ends the handling of a request that can't be used. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param code why the request is refused
     * @param detail what is wrong, in one sentence
     */
    public BadRequestException(ResultCode code, String detail) {
        super(detail);
        this.refusal = Refusal.of(code, detail);
    }

    /**
     * Returns the refusal that the client is to get.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
