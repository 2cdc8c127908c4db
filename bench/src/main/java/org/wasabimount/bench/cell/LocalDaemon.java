package org.wasabimount.bench.cell;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One daemon process on this machine. */
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
     * Returns where the daemon serves HTTP.
     *
     * @return host and port
     */
    public String httpAddress() {
        return httpAddress;
    }

    /**
     * Returns the process.
     *
     * @return the running process
     */
    public Process process() {
        return process;
    }

    /**
     * Returns the folder for durable state.
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
     * Makes the data folder with the daemon's own command.
     *
     * @param newCell whether the cell is made, too
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
            throw new IOException(name + " could not be formatted, see " + logFile());
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

    /** Kills the process with SIGKILL and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        waitFor(process, STOP_SECONDS);
    }

    /**
     * Asks the process to stop with SIGTERM and waits for its end.
     *
     * @return the exit status
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
     * Removes all durable state, as a lost disk would.
     *
     * @throws IOException if a file can't be removed
     */
    public void loseDisk() throws IOException {
        LocalCell.deleteTree(dataFolder());
    }

    /**
     * Returns what the daemon wrote.
     *
     * @return the whole log
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
