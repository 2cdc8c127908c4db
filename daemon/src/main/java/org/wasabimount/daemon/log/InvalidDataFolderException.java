package org.wasabimount.daemon.log;

import java.io.IOException;

/** Reports a data folder that cannot be used whatever the state of its disk: not formatted, or formatted for another VM. */
public final class InvalidDataFolderException extends IOException {

    InvalidDataFolderException(String message) {
        super(message);
    }
}
