package org.wasabimount.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.wasabimount.daemon.settings.SettingsException;

/** The command line program {@code wasabimountd}. */
public final class DaemonMain {

    private static final String USAGE = """
            usage: wasabimountd --settings FILE          run the daemon
                   wasabimountd --check FILE             check a settings file
                   wasabimountd --format FILE [--new-cell]
                                                         create the data folder that the settings name;
                                                         --new-cell on each first voter of a new cell only
            """;

    private DaemonMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line arguments
     * @throws InterruptedException if the wait for the daemon's end is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        int status = run(arguments, System.out, System.err);
        LogSetup.flush();
        Runtime.getRuntime().halt(status);
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) throws InterruptedException {
        Options options = new Options()
                .addOption(Option.builder().longOpt("settings").hasArg().get())
                .addOption(Option.builder().longOpt("check").hasArg().get())
                .addOption(Option.builder().longOpt("format").hasArg().get())
                .addOption(Option.builder().longOpt("new-cell").get())
                .addOption(Option.builder().longOpt("help").get());
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            err.println("wasabimountd: " + e.getMessage());
            err.print(USAGE);
            return Wasabimount.EXIT_USAGE;
        }
        if (line.hasOption("help")) {
            out.print(USAGE);
            return Wasabimount.EXIT_OK;
        }
        String file = line.getOptionValue("settings", line.getOptionValue("check", line.getOptionValue("format")));
        if (file == null || !line.getArgList().isEmpty()) {
            err.print(USAGE);
            return Wasabimount.EXIT_USAGE;
        }
        return run(line, Path.of(file), out, err);
    }

    private static int run(CommandLine line, Path file, PrintStream out, PrintStream err) throws InterruptedException {
        DaemonSettings settings;
        try {
            settings = Wasabimount.check(file);
        } catch (IOException e) {
            err.println("wasabimountd: " + file + " can't be read: " + e.getMessage());
            return Wasabimount.EXIT_BAD_SETTINGS;
        } catch (SettingsException e) {
            err.println("wasabimountd: " + file + ": " + e.getMessage());
            return Wasabimount.EXIT_BAD_SETTINGS;
        }
        if (line.hasOption("check")) {
            out.println(file + ": OK");
            return Wasabimount.EXIT_OK;
        }
        return line.hasOption("format") ? format(settings, line.hasOption("new-cell"), out, err) : serve(settings, err);
    }

    private static int format(DaemonSettings settings, boolean newCell, PrintStream out, PrintStream err) {
        try {
            out.println("formatted for replica " + Wasabimount.format(settings, newCell));
            return Wasabimount.EXIT_OK;
        } catch (IOException e) {
            err.println("wasabimountd: " + e.getMessage());
            return Wasabimount.EXIT_START_FAILED;
        }
    }

    private static int serve(DaemonSettings settings, PrintStream err) throws InterruptedException {
        LogSetup.apply(settings.logging());
        ProcessEnd.haltOnUncaughtException();
        try {
            Daemon daemon = Wasabimount.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(daemon), "shutdown"));
            return daemon.awaitEnd() ? Wasabimount.EXIT_OK : Wasabimount.EXIT_LOG_FAILED;
        } catch (IOException e) {
            err.println("wasabimountd: " + e.getMessage());
            return Wasabimount.EXIT_START_FAILED;
        }
    }

    private static void drain(Daemon daemon) {
        daemon.drain();
        LogSetup.flush();
        // Without this, the JVM would exit with the signal's status.
        Runtime.getRuntime().halt(Wasabimount.EXIT_OK);
    }
}
