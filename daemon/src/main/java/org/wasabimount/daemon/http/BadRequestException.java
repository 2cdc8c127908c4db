package org.wasabimount.daemon.http;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;

/** Ends the handling of a request that can't be used. */
final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    BadRequestException(ResultCode code, String detail) {
        super(detail);
        this.refusal = Refusal.of(code, detail);
    }

    Refusal refusal() {
        return refusal;
    }
}
