package org.wasabimount.daemon.log;

import java.io.IOException;

/** Thrown when a synced record can no longer be read. */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message which file is corrupt, and where
     */
    public CorruptLogException(String message) {
        super(message);
    }
}
