package org.wasabimount.cli;

/** Ends a command with an exit status and a one-line message for the user. */
final class CliException extends Exception {

    /** The command line is invalid. */
    static final int USAGE = 64;

    /** A file can't be read, or its content is invalid. */
    static final int BAD_INPUT = 65;

    /** No server could be reached, or none responded. */
    static final int UNREACHABLE = 69;

    private static final long serialVersionUID = 1L;

    private final int status;

    CliException(int status, String message) {
        super(message);
        this.status = status;
    }

    int status() {
        return status;
    }
}
