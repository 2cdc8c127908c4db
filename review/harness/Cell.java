import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: the roles control and entry of the deploy file as separate processes, each on a loopback address of its
 * own. Run in the root of the repository after its build.
 */
final class Cell implements AutoCloseable {

    private static final int CONTROLS = 3;
    private static final int CALL_MILLIS = 1_000;
    private static final int START_MILLIS = 30_000;

    private final Record record;
    private final Path folder;
    private final String network;
    private final int peerPort;
    private final int controlPort;
    private final int entryPort;
    private final int readyPort;
    private final int metricsPort;
    private final int workerPort;
    private final int entries;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Cell(Record record, int entries) throws IOException {
        this.record = record;
        this.entries = entries;
        this.folder = Files.createTempDirectory("wasabimount-review");
        Random random = new Random();
        this.network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250));
        int[] ports = freePorts(6);
        peerPort = ports[0];
        controlPort = ports[1];
        entryPort = ports[2];
        readyPort = ports[3];
        metricsPort = ports[4];
        workerPort = ports[5];
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts all processes and puts the configuration. */
    void start(String configuration) throws IOException {
        for (int number = 0; number < CONTROLS; number++) {
            startControl(number, true);
        }
        for (int number = 0; number < entries; number++) {
            start("entry" + number, entryHost(number), "entry", true, "entryAddress: \"" + entry(number)
                    + "\"\nreadyAddress: \"" + entryHost(number) + ":" + readyPort + "\"\n");
        }
        for (int number = 0; number < entries; number++) {
            String ready = entryHost(number) + ":" + readyPort;
            await("the entry is ready", START_MILLIS, () -> call("GET", ready, ready, "/v1/ready", "")
                    .status() == 200);
        }
        await("the configuration is acknowledged", START_MILLIS, () -> call(
                                "POST", control(0), control(0), "/v1/config/put", configuration)
                        .status() == 200);
        record.line("configuration acknowledged: "
                + configuration.substring(0, Math.min(400, configuration.length())));
    }

    void startControl(int number, boolean firstStart) throws IOException {
        String name = "control" + number;
        start(name, controlHost(number), "control", firstStart, "dataFolder: \"" + folder.resolve(name)
                + "\"\ncontrolAddress: \"" + control(number) + "\"\n");
    }

    /** Starts a process with the command of the deploy file, with settings as its template gives them. */
    private void start(String name, String host, String role, boolean firstStart, String addresses)
            throws IOException {
        List<String> seeds = new ArrayList<>();
        for (int number = 0; number < CONTROLS; number++) {
            seeds.add(control(number));
        }
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, "vm: \"" + host + "\"\ndomain: \"zone-a\"\npeerPort: " + peerPort
                + "\nseeds: \"" + String.join(",", seeds) + "\"\nfirstStart: " + firstStart
                + "\nreplicasLostAtOnce: 1\n" + addresses
                + "leaseMillis: 6000\ngangMillis: 3000\nstatusSeconds: 120\ncheckpointSeconds: 2\nstopMillis: 900\n"
                + "announceMillis: 1500\ncontactMillis: 3000\ndrainSeconds: 6\nmetricsAddress: \"" + host + ":"
                + metricsPort + "\"\nlogFormat: PLAIN\nlogLevel: INFO\n");
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put("WASABIMOUNT_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
        record.line("process starts: " + name + " at " + host);
    }

    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    private String controlHost(int number) {
        return network + "." + (10 + number);
    }

    private String entryHost(int number) {
        return network + "." + (50 + number);
    }

    String control(int number) {
        return controlHost(number) + ":" + controlPort;
    }

    List<String> controls() {
        List<String> all = new ArrayList<>();
        for (int number = 0; number < CONTROLS; number++) {
            all.add(control(number));
        }
        return all;
    }

    String entry(int number) {
        return entryHost(number) + ":" + entryPort;
    }

    /** Returns the address of a worker. */
    String worker(int number) {
        return network + "." + (80 + number) + ":" + workerPort;
    }

    /** Returns the number of the control process that leads, -1 if none says so. */
    int leader() {
        for (int number = 0; number < CONTROLS; number++) {
            String metrics = controlHost(number) + ":" + metricsPort;
            if (processes.get("control" + number).isAlive()
                    && call("GET", metrics, metrics, "/metrics", "").text().matches("(?s).*\nwasabimount_leads 1.*")) {
                return number;
            }
        }
        return -1;
    }

    /** Returns the number of the last control process that does not lead; workers send their heartbeats to the first one. */
    int follower() {
        return leader() == CONTROLS - 1 ? CONTROLS - 2 : CONTROLS - 1;
    }

    Http.Response call(String method, String address, String host, String path, String body) {
        return Http.call(method, address, host, path, body.getBytes(StandardCharsets.UTF_8), CALL_MILLIS);
    }

    /** Makes a client's call and records it. */
    Http.Response client(int entry, String method, String host, String path, String body) {
        Http.Response response =
                Http.call(method, entry(entry), host, path, body.getBytes(StandardCharsets.UTF_8), 3_000);
        record.line("client: " + method + " " + host + path + " " + body + " -> " + response.status() + " "
                + response.text());
        return response;
    }

    /** Returns the state of a job, empty if it is not known; recorded by the caller. */
    String state(int entry, String host, String path) {
        Http.Response response = call("GET", entry(entry), host, path, "");
        return response.status() == 200
                ? Json.read(response.body()).path("state").asText()
                : Integer.toString(response.status());
    }

    /** Returns the names of the processes that have not ended. */
    List<String> running() {
        return processes.entrySet().stream()
                .filter(process -> process.getValue().isAlive())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Sends a signal to a process that this cell started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        long pid = processes.get(name).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
        record.line("signal " + signal + " to " + name);
    }

    void await(String what, long millis, BooleanSupplier condition) {
        long untilMillis = record.millis() + millis;
        while (!condition.getAsBoolean()) {
            if (record.millis() >= untilMillis) {
                throw new IllegalStateException("not within " + millis + " ms: " + what);
            }
            pause(20);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the lines of the processes' logs that contain one of some words. */
    void recordLogs(String... words) throws IOException {
        for (String name : processes.keySet()) {
            for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
                for (String word : words) {
                    if (line.contains(word)) {
                        record.line("log of " + name + ": " + line);
                        break;
                    }
                }
            }
        }
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            int[] ports = new int[count];
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket();
                socket.bind(new InetSocketAddress(InetAddress.getByName(network + ".10"), 0));
                sockets.add(socket);
                ports[index] = socket.getLocalPort();
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
