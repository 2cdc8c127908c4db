package org.wasabimount.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The commands of the command-line tool. */
enum Command {
    /** Declares the resources in a file. */
    APPLY("apply -f FILE [--if-version N]", 0, "declares the services, batches and jobs of a YAML file") {
        @Override
        Options options() {
            return new Options()
                    .addOption(Option.builder("f").longOpt("file").hasArg().get())
                    .addOption(Option.builder().longOpt("if-version").hasArg().get());
        }

        @Override
        void run(Invocation invocation) throws CliException, IOException {
            String file = invocation.requiredOption("f");
            for (Manifest manifest : Manifest.read(Path.of(file))) {
                HttpRequest put = json("PUT", path(manifest.kind(), manifest.name()), manifest.spec());
                invocation.print(invocation.write(put));
            }
        }
    },
    /** Shows one resource or all. */
    GET("get [KIND NAME]", 2, "shows one resource, or all resources of the organisation") {
        @Override
        void run(Invocation invocation) throws CliException, IOException {
            List<String> names = invocation.arguments();
            if (names.size() == 2) {
                invocation.print(invocation.read(path(names.get(0), names.get(1))));
                return;
            }
            String after = "";
            do {
                JsonNode page = invocation.read("/v1/resources" + after);
                invocation.print(page);
                String next = page.path("next").asText();
                after = next.isEmpty() ? "" : "?after=" + next;
            } while (!after.isEmpty());
        }
    },
    /** Prints changes as they happen. */
    WATCH("watch [--from REVISION] [--changes N]", 0, "prints changes of the organisation's resources as they happen") {
        @Override
        Options options() {
            return new Options()
                    .addOption(Option.builder().longOpt("from").hasArg().get())
                    .addOption(Option.builder().longOpt("changes").hasArg().get());
        }

        @Override
        void run(Invocation invocation) throws CliException, IOException {
            long revision = invocation.numberOption("from", -1);
            long remaining = invocation.numberOption("changes", Long.MAX_VALUE);
            if (revision < 0) {
                revision = invocation.read("/v1/resources").path("revision").asLong();
            }
            while (remaining > 0) {
                JsonNode changes =
                        invocation.read("/v1/watch?fromRevision=" + revision + "&waitMillis=" + WATCH_WAIT_MILLIS);
                revision = changes.path("revision").asLong();
                for (JsonNode change : changes.path("resources")) {
                    invocation.out().println(new ObjectMapper().writeValueAsString(change));
                    remaining--;
                }
            }
        }
    },
    /** Deletes a resource. */
    DELETE("delete KIND NAME [--if-version N]", 2, "stops a resource's tasks and deletes the resource") {
        @Override
        Options options() {
            return new Options()
                    .addOption(Option.builder().longOpt("if-version").hasArg().get());
        }

        @Override
        void run(Invocation invocation) throws CliException, IOException {
            List<String> names = invocation.exactArguments(2);
            invocation.print(invocation.write(HttpRequest.of("DELETE", path(names.get(0), names.get(1)), new byte[0])));
        }
    },
    /** Explains why tasks are waiting. */
    EXPLAIN(
            "explain KIND NAME | explain --host HOST --path PATH [-f JOB.json] [--organisation NAME]",
            2,
            "explains why a resource's tasks are waiting; or, on nodes that run jobs, where a job would go now and why,"
                    + " without sending it (operator's secret)") {
        @Override
        Options options() {
            Options options = new Options()
                    .addOption(Option.builder("f").longOpt("file").hasArg().get());
            for (String name : List.of("host", "path", "organisation")) {
                options.addOption(Option.builder().longOpt(name).hasArg().get());
            }
            return options;
        }

        @Override
        void run(Invocation invocation) throws CliException, IOException {
            if (invocation.line().hasOption("host")) {
                explainJob(invocation);
                return;
            }
            List<String> names = invocation.exactArguments(2);
            JsonNode resource = invocation.read(path(names.get(0), names.get(1)));
            String reason = resource.path("reason").asText();
            invocation.out().println(reason.isEmpty() ? "no task is waiting" : reason);
        }

        private void explainJob(Invocation invocation) throws CliException, IOException {
            CommandLine line = invocation.line();
            ObjectNode body = new ObjectMapper()
                    .createObjectNode()
                    .put("host", invocation.requiredOption("host"))
                    .put("path", invocation.requiredOption("path"))
                    .put("organisation", line.getOptionValue("organisation", ""));
            if (line.hasOption("f")) {
                body.set("job", new ObjectMapper().readTree(Files.readAllBytes(Path.of(line.getOptionValue("f")))));
            }
            HttpRequest request = json("POST", "/v1/explain", body);
            invocation.print(invocation.api().sendRepeatable(request, REQUEST_TIMEOUT_MILLIS));
        }
    },
    /** Shows the state of the cell. */
    STATUS("status", 0, "shows workers, tasks, leaders and the contacted VM (platform's secret)") {
        @Override
        void run(Invocation invocation) throws CliException, IOException {
            invocation.print(invocation.read("/admin/status"));
        }
    },
    /** Stops a daemon gracefully. */
    DRAIN("drain", 0, "stops the contacted daemon without interrupting a request (platform's secret)") {
        @Override
        void run(Invocation invocation) throws CliException, IOException {
            invocation.write(HttpRequest.of("POST", "/admin/drain", new byte[0]));
            invocation.out().println("draining");
        }
    },
    /** Calls a service. */
    CALL(
            "call SERVICE [PATH] [-X METHOD] [-d BODY] [--once [--key KEY]] [--timeout-millis N]",
            2,
            "sends a request to a service; --once marks it as not repeatable") {
        @Override
        Options options() {
            return new Options()
                    .addOption(Option.builder("X").longOpt("method").hasArg().get())
                    .addOption(Option.builder("d").longOpt("data").hasArg().get())
                    .addOption(Option.builder().longOpt("once").get())
                    .addOption(Option.builder().longOpt("key").hasArg().get())
                    .addOption(
                            Option.builder().longOpt("timeout-millis").hasArg().get());
        }

        @Override
        void run(Invocation invocation) throws CliException {
            List<String> names = invocation.arguments();
            if (names.isEmpty()) {
                throw new CliException(CliException.USAGE, "call requires the name of a service");
            }
            CommandLine line = invocation.line();
            String body = line.getOptionValue("d", "");
            String method = line.getOptionValue("X", line.hasOption("d") ? "POST" : "GET");
            String path = "/call/" + names.get(0) + (names.size() > 1 ? names.get(1) : "/");
            long timeoutMillis = invocation.numberOption("timeout-millis", CALL_TIMEOUT_MILLIS);
            HttpRequest request = HttpRequest.of(method, path, body.getBytes(StandardCharsets.UTF_8))
                    .withHeader("Request-Timeout-Millis", Long.toString(timeoutMillis));
            if (line.hasOption("once") || line.hasOption("key")) {
                String key = line.getOptionValue(
                        "key", Secrets.newKey(System.currentTimeMillis()).toString());
                request = request.withHeader("Idempotency-Key", key);
            }
            HttpResult result = invocation.api().call(request, timeoutMillis + RESPONSE_GRACE_MILLIS);
            ApiClient.requireSuccess(result);
            invocation.out().println(result.response().text());
        }
    },
    /** Declares an organisation. */
    ORGANISATION(
            "organisation NAME [--weight N] [--cpu-millis N] [--memory-megabytes N] [--accelerators N]"
                    + " [--secret SECRET]... [--keep-hash HASH]...",
            1,
            "declares an organisation and prints its new credential (platform's secret)") {
        @Override
        Options options() {
            Options options = new Options();
            for (String name :
                    List.of("weight", "cpu-millis", "memory-megabytes", "accelerators", "keep-hash", "secret")) {
                options.addOption(Option.builder().longOpt(name).hasArg().get());
            }
            return options;
        }

        @Override
        void run(Invocation invocation) throws CliException {
            String name = invocation.exactArguments(1).get(0);
            CommandLine line = invocation.line();
            ObjectNode body = new ObjectMapper().createObjectNode();
            body.put("weight", invocation.numberOption("weight", 1));
            body.putObject("quota")
                    .put("cpuMillis", invocation.numberOption("cpu-millis", DEFAULT_QUOTA))
                    .put("memoryMegabytes", invocation.numberOption("memory-megabytes", DEFAULT_QUOTA))
                    .put("accelerators", invocation.numberOption("accelerators", DEFAULT_QUOTA));
            String secret = line.getOptionValue("secret", Secrets.newSecret());
            var hashes = body.putArray("secretHashes").add(Secrets.hash(secret));
            Optional.ofNullable(line.getOptionValues("keep-hash"))
                    .ifPresent(kept -> Arrays.stream(kept).forEach(hashes::add));
            invocation.write(json("PUT", "/admin/organisations/" + name, body));
            invocation.out().println("credential: " + name + ":" + secret);
            invocation.out().println("hash: " + Secrets.hash(secret));
        }
    },
    /** Shows or changes the configuration. */
    CONFIGURATION(
            "configuration [KEY=VALUE...] [--if-version N]",
            Integer.MAX_VALUE,
            "shows the cell's configuration, or replaces it (platform's secret)") {
        @Override
        Options options() {
            return new Options()
                    .addOption(Option.builder().longOpt("if-version").hasArg().get());
        }

        @Override
        void run(Invocation invocation) throws CliException, IOException {
            if (invocation.arguments().isEmpty()) {
                invocation.print(invocation.read("/admin/configuration"));
                return;
            }
            ObjectNode body = new ObjectMapper().createObjectNode();
            ObjectNode values = body.putObject("values");
            for (String argument : invocation.arguments()) {
                int equals = argument.indexOf('=');
                if (equals < 0) {
                    throw new CliException(CliException.USAGE, "\"" + argument + "\" must have the form KEY=VALUE");
                }
                values.put(argument.substring(0, equals), argument.substring(equals + 1));
            }
            invocation.print(invocation.write(json("PUT", "/admin/configuration", body)));
        }
    },
    /** Confirms that a lost worker no longer runs any task. */
    FENCE(
            "fence WORKER INCARNATION",
            2,
            "confirms that a lost worker is off, so that its kept tasks may start elsewhere (platform's secret)") {
        @Override
        void run(Invocation invocation) throws CliException, IOException {
            List<String> names = invocation.exactArguments(2);
            ObjectNode body = new ObjectMapper()
                    .createObjectNode()
                    .put("incarnation", Invocation.parseNumber("INCARNATION", names.get(1)));
            invocation.write(json("POST", "/admin/workers/" + names.get(0) + "/fence", body));
            invocation.out().println("fenced");
        }
    },
    /** Generates a secret. */
    SECRET("secret", 0, "generates a secret and its hash for the settings files") {
        @Override
        void run(Invocation invocation) {
            String secret = Secrets.newSecret();
            invocation.out().println("secret: " + secret);
            invocation.out().println("hash: " + Secrets.hash(secret));
        }
    };

    private static final long WATCH_WAIT_MILLIS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 10_000;
    private static final long RESPONSE_GRACE_MILLIS = 1_000;
    private static final long REQUEST_TIMEOUT_MILLIS = 16_000;
    private static final long DEFAULT_QUOTA = 1_000_000_000L;

    private final String usage;
    private final int maxArguments;
    private final String summary;

    Command(String usage, int maxArguments, String summary) {
        this.usage = usage;
        this.maxArguments = maxArguments;
        this.summary = summary;
    }

    abstract void run(Invocation invocation) throws CliException, IOException;

    Options options() {
        return new Options();
    }

    String usage() {
        return usage;
    }

    String summary() {
        return summary;
    }

    static Optional<Command> of(String name) {
        return Arrays.stream(values())
                .filter(command -> command.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    private static String path(String kind, String name) {
        return "/v1/" + kind + "/" + name;
    }

    private static HttpRequest json(String method, String path, JsonNode body) throws CliException {
        try {
            return HttpRequest.of(method, path, new ObjectMapper().writeValueAsBytes(body))
                    .withHeader("Content-Type", "application/json");
        } catch (JsonProcessingException e) {
            throw new CliException(CliException.BAD_INPUT, "the specification can't be serialized as JSON");
        }
    }

    /**
     * One invocation of a command.
     *
     * @param command the command
     * @param line its options and arguments
     * @param api the client for the servers
     * @param format the format of the output
     * @param out where the output is written
     */
    record Invocation(Command command, CommandLine line, ApiClient api, OutputFormat format, PrintStream out) {

        List<String> arguments() throws CliException {
            if (line.getArgList().size() > command.maxArguments) {
                throw new CliException(CliException.USAGE, "usage: wasabimount " + command.usage);
            }
            return line.getArgList();
        }

        List<String> exactArguments(int count) throws CliException {
            if (line.getArgList().size() != count) {
                throw new CliException(CliException.USAGE, "usage: wasabimount " + command.usage);
            }
            return line.getArgList();
        }

        String requiredOption(String option) throws CliException {
            String value = line.getOptionValue(option);
            if (value == null) {
                throw new CliException(CliException.USAGE, "usage: wasabimount " + command.usage);
            }
            return value;
        }

        long numberOption(String option, long defaultValue) throws CliException {
            String value = line.getOptionValue(option);
            return value == null ? defaultValue : parseNumber("--" + option, value);
        }

        static long parseNumber(String name, String text) throws CliException {
            try {
                return Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw new CliException(CliException.USAGE, name + " must be an integer");
            }
        }

        JsonNode read(String path) throws CliException {
            return api.sendRepeatable(HttpRequest.of("GET", path, new byte[0]), REQUEST_TIMEOUT_MILLIS);
        }

        /** Sends a write. Its request id makes a retry after a lost response return the first result. */
        JsonNode write(HttpRequest message) throws CliException {
            HttpRequest identified =
                    message.withHeader("Request-Id", UUID.randomUUID().toString());
            String version = line.getOptionValue("if-version");
            return api.sendRepeatable(
                    version == null ? identified : identified.withHeader("If-Match", version), REQUEST_TIMEOUT_MILLIS);
        }

        void print(JsonNode node) throws JsonProcessingException {
            out.println(format.write(node));
        }
    }
}
