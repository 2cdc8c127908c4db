package org.wasabimount.daemon;

import java.io.IOException;
import java.nio.file.Path;

import org.wasabimount.core.Validate;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.log.DataFolder;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.daemon.settings.SettingsException;

/**
 * Starts everything that a daemon program does.
 *
 * <p>For example:
 *
 * <pre>{@code
 * DaemonSettings settings = Wasabimount.check(Path.of("glasgow-1.yaml"));
 * Daemon daemon = Wasabimount.start(settings);
 * daemon.awaitEnd();
 * }</pre>
 */
public final class Wasabimount {

    /** The exit status after a stop that was asked for. */
    public static final int EXIT_OK = 0;

    /** The exit status when the settings can't be used. */
    public static final int EXIT_BAD_SETTINGS = 78;

    /** The exit status when the log could not be kept or recovered. */
    public static final int EXIT_LOG_FAILED = 74;

    /** The exit status when the daemon could not start. */
    public static final int EXIT_START_FAILED = 71;

    /** The exit status when the command line can't be used. */
    public static final int EXIT_USAGE = 64;

    private Wasabimount() {}

    /**
     * Reads and checks a settings file.
     *
     * @param file the settings file
     * @return the settings
     * @throws IOException if the file can't be read
     * @throws SettingsException if something in it is wrong
     */
    public static DaemonSettings check(Path file) throws IOException, SettingsException {
        return DaemonSettings.read(Validate.notNull(file, "file"));
    }

    /**
     * Makes the data folder of a VM.
     *
     * @param settings the VM's settings
     * @param newCell true if the cell is made now, too; false for a VM that joins or replaces one
     * @return the identity of the VM's replicas
     * @throws IOException if the settings name no folder, or it is in use or can't be written
     */
    public static ReplicaIdentity format(DaemonSettings settings, boolean newCell) throws IOException {
        Path folder = settings.dataFolder().orElseThrow(() -> new IOException("the settings name no dataFolder"));
        return new DataFolder(folder).format(settings.vm(), newCell);
    }

    /**
     * Starts a daemon.
     *
     * @param settings the VM's settings
     * @return the running daemon
     * @throws IOException if the log can't be recovered or a port can't be opened
     */
    public static Daemon start(DaemonSettings settings) throws IOException {
        Daemon daemon = new Daemon(Validate.notNull(settings, "settings"));
        daemon.start();
        return daemon;
    }
}
