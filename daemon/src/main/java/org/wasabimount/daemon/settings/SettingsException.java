package org.wasabimount.daemon.settings;

/** Thrown when a settings file is invalid; the message gives the line, the key and the error. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param path the key's path, for example {@code peers[1].address}
     * @param line the line in the file, from 1
     * @param detail the error
     */
    public SettingsException(String path, int line, String detail) {
        super("line " + line + ": " + path + ": " + detail);
    }
}
