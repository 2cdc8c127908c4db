package org.wasabimount.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;

import org.wasabimount.bench.log.LogBench;
import org.wasabimount.bench.overhead.OverheadBench;
import org.wasabimount.bench.placement.PlacementBench;
import org.wasabimount.bench.routing.RoutingBench;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Entry point of {@code bin/bench}, which runs one experiment. */
public final class BenchMain {

    private static final int EXIT_USAGE = 64;

    private BenchMain() {}

    /**
     * Runs an experiment and prints its result, a JSON object, as the last line.
     *
     * @param arguments the project's root folder, the experiment's name and its options
     * @throws IOException if a process can't be started or accessed
     */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length < 2) {
            usage();
        }
        Path projectFolder = Path.of(arguments[0]);
        BenchOptions options = BenchOptions.parse(Arrays.copyOfRange(arguments, 2, arguments.length));
        System.out.println(run(arguments[1], projectFolder, options));
        Runtime.getRuntime().halt(0);
    }

    private static ObjectNode run(String experiment, Path projectFolder, BenchOptions options) throws IOException {
        return switch (experiment) {
            case "placement" -> new PlacementBench(options).run();
            case "log" -> new LogBench(projectFolder, options).run();
            case "routing" -> new RoutingBench(projectFolder, options).run();
            case "overhead" -> new OverheadBench(projectFolder, options).run();
            default -> {
                usage();
                yield null;
            }
        };
    }

    private static void usage() {
        System.err.println("usage: bin/bench log|routing|placement|overhead [--NAME NUMBER]...");
        Runtime.getRuntime().halt(EXIT_USAGE);
    }
}
