package org.wasabimount.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wasabimount.client.HttpClient;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Entry point of the program {@code wasabimount}. */
public final class CliMain {

    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final String DEFAULT_SERVER = "127.0.0.1:8100";

    private CliMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int status = run(arguments, System.getenv(), System.out, System.err);
        System.out.flush();
        Runtime.getRuntime().halt(status);
    }

    static int run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        if (arguments.length == 0 || arguments[0].equals("--help") || arguments[0].equals("help")) {
            printUsage(out);
            return arguments.length == 0 ? CliException.USAGE : 0;
        }
        try {
            Optional<Command> command = Command.of(arguments[0]);
            if (command.isEmpty()) {
                throw new CliException(CliException.USAGE, "unknown command \"" + arguments[0] + "\"; see --help");
            }
            run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length), environment, out);
            return 0;
        } catch (CliException e) {
            err.println("wasabimount: " + e.getMessage());
            return e.status();
        } catch (IOException e) {
            err.println("wasabimount: " + e.getMessage());
            return CliException.UNREACHABLE;
        }
    }

    private static void run(Command command, String[] arguments, Map<String, String> environment, PrintStream out)
            throws CliException, IOException {
        Options options = command.options()
                .addOption(Option.builder("o").hasArg().get())
                .addOption(Option.builder().longOpt("server").hasArg().get())
                .addOption(Option.builder().longOpt("credential").hasArg().get())
                .addOption(Option.builder().longOpt("help").get());
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            throw new CliException(CliException.USAGE, e.getMessage() + "; usage: wasabimount " + command.usage());
        }
        if (line.hasOption("help")) {
            out.println("usage: wasabimount " + command.usage());
            out.println(command.summary());
            return;
        }
        String servers = line.getOptionValue("server", environment.getOrDefault("WASABIMOUNT_SERVER", DEFAULT_SERVER));
        String credential = line.getOptionValue("credential", environment.getOrDefault("WASABIMOUNT_CREDENTIAL", ""));
        OutputFormat format = OutputFormat.parse(line.getOptionValue("o", "table"));
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        try {
            ApiClient api =
                    new ApiClient(new HttpClient(worker, MAX_RESPONSE_BYTES), List.of(servers.split(",")), credential);
            command.run(new Command.Invocation(command, line, api, format, out));
        } finally {
            worker.shutdownNow();
        }
    }

    private static void printUsage(PrintStream out) {
        out.println("usage: wasabimount COMMAND [--server HOST:PORT,...] [--credential TEXT] [-o json|yaml|table]");
        out.println("The defaults for --server and --credential are WASABIMOUNT_SERVER and WASABIMOUNT_CREDENTIAL.");
        out.println("Commands:");
        Arrays.stream(Command.values()).forEach(command -> {
            out.println("  " + command.usage());
            out.println("      " + command.summary());
        });
    }
}
