package org.wasabimount.daemon;

import java.io.IOException;
import java.nio.file.Path;

import org.wasabimount.core.Validate;
import org.wasabimount.core.log.ReplicaIdentity;
import org.wasabimount.daemon.log.DataFolder;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.daemon.settings.SettingsException;

/**
 * The entry point for programs that check settings, format a data folder or run a daemon.
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

    /** The exit status after a requested stop. */
    public static final int EXIT_OK = 0;

    /** The exit status if the settings file is unreadable or invalid. */
    public static final int EXIT_BAD_SETTINGS = 78;

    /** The exit status if the replicated log could not be written or recovered. */
    public static final int EXIT_LOG_FAILED = 74;

    /** The exit status if a thread has ended with an unexpected error. */
    public static final int EXIT_THREAD_FAILED = 70;

    /** The exit status if the daemon could not start. */
    public static final int EXIT_START_FAILED = 71;

    /** The exit status if the command line is invalid. */
    public static final int EXIT_USAGE = 64;

    private Wasabimount() {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the settings file
     * @return the settings
     * @throws IOException if the file can't be read
     * @throws SettingsException if a setting is invalid
     */
    public static DaemonSettings check(Path file) throws IOException, SettingsException {
        return DaemonSettings.read(Validate.notNull(file, "file"));
    }

    /**
     * Creates the data folder of a VM.
     *
     * @param settings the VM's settings
     * @param newCell true if the VM is a first voter of a new cell; false if it joins a cell or replaces a VM
     * @return the identity of the VM's replicas
     * @throws IOException if the settings name no data folder, or the folder is in use or can't be written
     */
    public static ReplicaIdentity format(DaemonSettings settings, boolean newCell) throws IOException {
        Path folder = settings.dataFolder().orElseThrow(() -> new IOException("the settings do not name a dataFolder"));
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
