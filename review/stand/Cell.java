import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Control and entry processes of the project on loopback addresses, started with the commands of the deploy file and
 * settings made from its template.
 */
final class Cell implements AutoCloseable {

    static final int FRONT_PORT = 8161;
    static final int CONTROL_PORT = 8166;
    static final int READY_PORT = 8167;
    static final int PEER_PORT = 7720;

    private static final String[] ZONES = {"pl-central-a", "pl-central-b", "pl-central-c"};

    final String net;
    final Path folder;
    final List<Node> controls = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();
    final Record record;
    private final Path repository;

    /** One process with its settings; it can be killed and started again. */
    final class Node {
        final String ip;
        final String role;
        final List<String> command;
        final Path settings;
        final Path log;
        Process process;

        Node(String ip, String role, List<String> command, Path settings, Path log) {
            this.ip = ip;
            this.role = role;
            this.command = command;
            this.settings = settings;
            this.log = log;
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command)
                    .directory(repository.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("WASABIMOUNT_CONFIG", settings.toString());
            process = builder.start();
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Returns the lines of the log that contain a text. */
        List<String> lines(String text) throws IOException {
            return Files.readAllLines(log).stream().filter(line -> line.contains(text)).collect(Collectors.toList());
        }
    }

    Cell(Record record, int controlCount, int entryCount) throws IOException {
        this.record = record;
        this.repository = Path.of("").toAbsolutePath();
        this.folder = Files.createTempDirectory("case");
        this.net = freeNet();
        // Also ends the processes if the case is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        String seeds = java.util.stream.IntStream.rangeClosed(1, controlCount)
                .mapToObj(number -> net + number + ":" + CONTROL_PORT)
                .collect(Collectors.joining(","));
        for (int i = 1; i <= controlCount; i++) {
            controls.add(node("control", net + i, ZONES[(i - 1) % ZONES.length], seeds));
        }
        for (int i = 1; i <= entryCount; i++) {
            entries.add(node("entry", net + (10 + i), ZONES[(i - 1) % ZONES.length], seeds));
        }
    }

    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            String net = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
            try (ServerSocket one = new ServerSocket(); ServerSocket other = new ServerSocket()) {
                one.bind(new InetSocketAddress(InetAddress.getByName(net + 1), CONTROL_PORT));
                other.bind(new InetSocketAddress(InetAddress.getByName(net + 1), PEER_PORT));
                return net;
            } catch (IOException e) {
                // In use; try another one.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private Node node(String role, String ip, String zone, String seeds) throws IOException {
        Map<String, String> values = new HashMap<>();
        values.put("ip", ip);
        values.put("zone", zone);
        values.put("port-range.0", Integer.toString(PEER_PORT));
        values.put("seeds", seeds);
        values.put("bootstrap", "true");
        values.put("fault-tolerance.machines", "1");
        values.put("heartbeat-ms", "1500");
        values.put("bounds.hold-max-ms", "6000");
        values.put("bounds.gang-ms", "3000");
        values.put("bounds.status_s", "120");
        values.put("bounds.checkpoint-interval-s", "2");
        values.put("bounds.stop-ms", "900");
        values.put("bounds.contact-ms", "3000");
        values.put("bounds.grace-s", "6");
        if (role.equals("control")) {
            values.put("data-dir", folder.resolve("data-" + ip).toString());
            values.put("listen-addrs.control", ip + ":" + CONTROL_PORT);
        } else {
            values.put("listen-addrs.front", ip + ":" + FRONT_PORT);
            values.put("listen-addrs.ready", ip + ":" + READY_PORT);
        }
        Path settings = folder.resolve("settings-" + ip + ".yaml");
        Files.writeString(settings, render(Files.readString(repository.resolve("deploy/node.yaml.template")), values));
        return new Node(ip, role, command(role), settings, folder.resolve(role + "-" + ip + ".log"));
    }

    /** Fills in sections that stand for one text, and plain values. */
    static String render(String template, Map<String, String> values) {
        Matcher sections =
                Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(template);
        String text = sections.replaceAll(section -> Matcher.quoteReplacement(
                values.containsKey(section.group(1))
                        ? section.group(2).replace("{{.}}", values.get(section.group(1)))
                        : ""));
        return Pattern.compile("\\{\\{([^}]+)}}")
                .matcher(text)
                .replaceAll(value -> Matcher.quoteReplacement(values.getOrDefault(value.group(1), "")));
    }

    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "][^\\[]*?\\nrun = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command for " + role);
        }
        return List.of(run.group(1).split(" +"));
    }

    /** Starts all processes and waits until the entry nodes are ready. */
    void start() throws Exception {
        for (Node node : controls) {
            node.start();
        }
        for (Node node : entries) {
            node.start();
        }
        long until = System.currentTimeMillis() + 30_000;
        for (Node node : entries) {
            while (Http.call("GET", node.ip + ":" + READY_PORT, "/v1/ready", null, null, 1000).status() != 200) {
                if (System.currentTimeMillis() > until) {
                    throw new IOException("the entry node " + node.ip + " does not get ready");
                }
                Thread.sleep(100);
            }
        }
        record.line("cell is ready, addresses " + net + "x");
    }

    /** Returns the control node that has logged last that it leads. */
    Node leader() throws IOException {
        Node leader = null;
        String latest = "";
        for (Node node : controls) {
            for (String line : node.alive() ? node.lines("LEAD term=") : List.<String>of()) {
                Matcher term = Pattern.compile("LEAD term=(\\d+)").matcher(line);
                if (term.find() && Long.parseLong(term.group(1)) > (latest.isEmpty() ? -1 : Long.parseLong(latest))) {
                    latest = term.group(1);
                    leader = node;
                }
            }
        }
        return leader;
    }

    private void endProcesses() {
        List<Node> all = new ArrayList<>(controls);
        all.addAll(entries);
        all.stream().filter(node -> node.process != null).forEach(node -> node.process.destroyForcibly());
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        List<Node> all = new ArrayList<>(controls);
        all.addAll(entries);
        for (Node node : all) {
            if (node.process != null) {
                node.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        delete(folder.toFile());
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                delete(child);
            }
        }
        file.delete();
    }
}
