package org.wasabimount.bench.cell;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon process on this machine with its settings, data folder and log. */
public final class LocalDaemon {

    private static final long STOP_SECONDS = 40;

    private final Path projectFolder;
    private final Path folder;
    private final String name;
    private final String httpAddress;
    private Process process;

    LocalDaemon(Path projectFolder, Path folder, String name, String httpAddress) {
        this.projectFolder = projectFolder;
        this.folder = folder;
        this.name = name;
        this.httpAddress = httpAddress;
    }

    /**
     * Returns the VM's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the address on which the daemon serves HTTP.
     *
     * @return host and port
     */
    public String httpAddress() {
        return httpAddress;
    }

    /**
     * Returns the process.
     *
     * @return the process that was started last, or null before the first start
     */
    public Process process() {
        return process;
    }

    /**
     * Returns the data folder.
     *
     * @return the folder
     */
    public Path dataFolder() {
        return folder.resolve("data");
    }

    Path settingsFile() {
        return folder.resolve("settings.yaml");
    }

    /**
     * Creates the data folder by running the daemon with {@code --format}.
     *
     * @param newCell whether to create a new cell
     * @throws IOException if the command fails
     */
    public void format(boolean newCell) throws IOException {
        List<String> command = newCell
                ? List.of(executable(), "--format", settingsFile().toString(), "--new-cell")
                : List.of(executable(), "--format", settingsFile().toString());
        Process format = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()))
                .start();
        if (waitFor(format, STOP_SECONDS) != 0) {
            throw new IOException(name + ": formatting the data folder failed, see " + logFile());
        }
    }

    /**
     * Starts the process.
     *
     * @throws IOException if it can't be started
     */
    public void start() throws IOException {
        process = new ProcessBuilder(executable(), "--settings", settingsFile().toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()))
                .start();
    }

    /** Kills the process with SIGKILL and waits until it exits. */
    public void kill() {
        process.destroyForcibly();
        waitFor(process, STOP_SECONDS);
    }

    /**
     * Sends SIGTERM to the process and waits until it exits.
     *
     * @return the exit status, or -1 if the process does not exit in time
     */
    public int terminate() {
        process.destroy();
        return waitFor(process, STOP_SECONDS);
    }

    /**
     * Sends a signal to the process.
     *
     * @param signal the signal's name, for example STOP
     * @throws IOException if it can't be sent
     */
    public void signal(String signal) throws IOException {
        waitFor(new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start(), STOP_SECONDS);
    }

    /**
     * Deletes the data folder, which simulates the loss of a disk.
     *
     * @throws IOException if a file can't be removed
     */
    public void loseDisk() throws IOException {
        LocalCell.deleteTree(dataFolder());
    }

    /**
     * Returns the output of the daemon.
     *
     * @return the text of the log file
     * @throws IOException if it can't be read
     */
    public String readLog() throws IOException {
        return Files.readString(logFile().toPath());
    }

    private File logFile() {
        return folder.resolve("log").toFile();
    }

    private String executable() {
        return projectFolder.resolve("bin/wasabimountd").toString();
    }

    private static int waitFor(Process awaitedProcess, long seconds) {
        try {
            return awaitedProcess.waitFor(seconds, TimeUnit.SECONDS) ? awaitedProcess.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }
}
