import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: control and entry processes, started with the commands and the settings
 * template of the deploy file, beside stand-ins for minions, clients and the operator.
 */
final class Cell implements AutoCloseable {

    /** The bounds of the small deployments, and limits of their machines. */
    private static final Map<String, String> BOUNDS = Map.of(
            "bounds.hold-max-ms", "6000",
            "bounds.gang-ms", "3000",
            "bounds.status_s", "120",
            "bounds.checkpoint-interval-s", "2",
            "bounds.stop-ms", "200",
            "heartbeat-ms", "1500",
            "bounds.contact-ms", "3000",
            "bounds.harm-ms", "4000",
            "bounds.pace-ms", "100",
            "bounds.grace-s", "6");

    static final int CONTROL_PORT = freePort(8166);
    static final int ENTRY_PORT = freePort(8161);
    static final int READY_PORT = freePort(8167);
    static final int MINION_PORT = freePort(9000);
    private static final int PEER_PORT = freePort(7720);
    private static final long RESTART_DELAY_MILLIS = 500;

    final Recorder recorder;
    private final String network = drawNetwork();
    private final Path folder = Files.createTempDirectory("wasabimount-review");
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Integer> ownEnds = new ConcurrentHashMap<>();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final int controls;
    private final int entries;
    private volatile boolean closing;

    /** An answer to a call; the status is 0 if there was none. */
    record Answer(int status, String body) {}

    Cell(Recorder recorder, int controls, int entries) throws IOException {
        this.recorder = recorder;
        this.controls = controls;
        this.entries = entries;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int number = 0; number < controls; number++) {
            start("control" + number, true);
        }
        for (int number = 0; number < entries; number++) {
            start("entry" + number, true);
        }
    }

    /** Returns a part of the loopback range that other runs of a case hardly use at the same time. */
    private static String drawNetwork() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250);
    }

    /** Returns a port that nothing listens at on the loopback address: the preferred one, or one drawn by lot. */
    private static int freePort(int preferred) {
        int port = preferred;
        for (int attempt = 0; attempt < 50; attempt++) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (IOException e) {
                port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            }
        }
        throw new IllegalStateException("no port is free");
    }

    String host(int last) {
        return network + "." + last;
    }

    String control(int number) {
        return host(11 + number) + ":" + CONTROL_PORT;
    }

    String entry(int number) {
        return host(21 + number) + ":" + ENTRY_PORT;
    }

    int controls() {
        return controls;
    }

    /** Starts a process of a role of the deploy file. */
    private void start(String name, boolean bootstrap) throws IOException {
        String role = name.replaceAll("\\d", "");
        int number = Integer.parseInt(name.replaceAll("\\D", ""));
        String ip = host((role.equals("control") ? 11 : 21) + number);
        List<String> seeds = new ArrayList<>();
        for (int seed = 0; seed < controls; seed++) {
            seeds.add(control(seed));
        }
        Map<String, String> values = new LinkedHashMap<>(BOUNDS);
        values.put("ip", ip);
        values.put("zone", "zone-" + (char) ('a' + number % 3));
        values.put("port-range.0", Integer.toString(PEER_PORT));
        values.put("seeds", String.join(",", seeds));
        values.put("bootstrap", Boolean.toString(bootstrap));
        values.put("fault-tolerance.machines", Integer.toString((controls - 1) / 2));
        if (role.equals("control")) {
            values.put("data-dir", Files.createDirectories(folder.resolve(name)).toString());
            values.put("listen-addrs.control", ip + ":" + CONTROL_PORT);
        } else {
            values.put("listen-addrs.front", ip + ":" + ENTRY_PORT);
            values.put("listen-addrs.ready", ip + ":" + READY_PORT);
        }
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, render(Files.readString(Path.of("deploy/node.yaml.template")), values));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("WASABIMOUNT_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        Process process = builder.start();
        processes.put(name, process);
        if (closing) {
            process.destroyForcibly();
        }
        recorder.add("platform starts " + name + " pid=" + process.pid());
        process.onExit().thenAccept(ended -> restart(name, ended));
    }

    /** A process that exits is restarted after a short delay, as the platform does. */
    private void restart(String name, Process ended) {
        if (closing) {
            return;
        }
        boolean killed = ended.exitValue() == 128 + 9;
        recorder.add("platform sees the end of " + name + " status=" + ended.exitValue());
        if (!killed) {
            ownEnds.merge(name, 1, Integer::sum);
        }
        try {
            Thread.sleep(RESTART_DELAY_MILLIS);
            if (!closing) {
                start(name, false);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how often each process has ended by itself. */
    Map<String, Integer> ownEnds() {
        return Map.copyOf(ownEnds);
    }

    private static String render(String template, Map<String, String> values) {
        Matcher section = Pattern.compile("(?s)\\{\\{#([\\w.-]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}").matcher(template);
        String expanded = section.replaceAll(match -> Matcher.quoteReplacement(
                values.containsKey(match.group(1))
                        ? match.group(2).replace("{{.}}", values.get(match.group(1)))
                        : ""));
        return Pattern.compile("\\{\\{([\\w.-]+)\\}\\}")
                .matcher(expanded)
                .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    /** Kills a process; the platform starts it again. */
    void kill(String name) {
        recorder.add("SIGKILL to " + name);
        processes.get(name).destroyForcibly();
    }

    /** Sends a signal to a process that this cell has started. */
    void signal(String name, String signal) {
        recorder.add("SIG" + signal + " to " + name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Path folder() {
        return folder;
    }

    String log(String name) {
        try {
            return Files.readString(folder.resolve(name + ".log"));
        } catch (IOException e) {
            return "";
        }
    }

    /** Calls a process once; headers come as names and values in turn. */
    Answer call(String method, String address, String path, String body, long timeoutMillis, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMillis))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        if (body != null) {
            request.header("Content-Type", "application/json");
        }
        if (headers.length > 0) {
            request.headers(headers);
        }
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    /** A call of a client at an entry node, recorded. */
    Answer client(String method, int entry, String host, String path, String body, String... headers) {
        List<String> all = new ArrayList<>(List.of(headers));
        all.addAll(List.of("Host", host, "X-Wasabimount-Deadline-Ms", "3000"));
        Answer answer = call(method, entry(entry), path, body, 3_000, all.toArray(String[]::new));
        recorder.add("client " + method + " " + path + " at entry" + entry + " -> " + answer.status() + " "
                + shorten(answer.body()));
        return answer;
    }

    /** Hands a job in until it is accepted or refused for good, at any entry node, as clients do. */
    Answer submit(String host, String path, String body, String... headers) {
        Answer answer = new Answer(0, "");
        for (int attempt = 0; attempt < 20; attempt++) {
            answer = client("POST", attempt % entries, host, path, body, headers);
            boolean again = answer.status() == 0 || answer.status() >= 500 || answer.status() == 429;
            if (!again) {
                return answer;
            }
            sleep(500);
        }
        return answer;
    }

    /** Sends a configuration until it is acknowledged. */
    void configure(String configuration) {
        long untilNanos = System.nanoTime() + 40_000_000_000L;
        for (int attempt = 0; System.nanoTime() < untilNanos; attempt++) {
            Answer answer = call("POST", control(attempt % controls), "/v1/config/put", configuration, 1_000);
            recorder.add("operator put configuration at control" + attempt % controls + " -> " + answer.status());
            if (answer.status() == 200) {
                return;
            }
            sleep(300);
        }
        throw new IllegalStateException("the configuration was not acknowledged");
    }

    void awaitReady() {
        for (int number = 0; number < entries; number++) {
            String address = host(21 + number) + ":" + READY_PORT;
            await(30_000, () -> call("GET", address, "/v1/ready", null, 1_000).status() == 200, "entries to be ready");
        }
    }

    static void await(long millis, BooleanSupplier condition, String what) {
        if (!met(millis, condition)) {
            throw new IllegalStateException("waited in vain for " + what);
        }
    }

    static boolean met(long millis, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                return false;
            }
            sleep(50);
        }
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String shorten(String text) {
        return text.length() > 200 ? text.substring(0, 200) + "..." : text;
    }

    private void killAll() {
        closing = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        killAll();
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null || !Files.exists(folder)) {
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
