import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A sound minion by the users' protocol; one object is one address, and each {@link #start} one life there. */
final class Minion {

    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_LISTED_ENDS = 500;
    private static final long MAX_LEASE_MILLIS = 6_000;
    private static final long TICK_MILLIS = 20;
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final Cell cell;
    private final World world;
    final int number;
    private final String address;
    private final int port;
    private final int cpuMillis;
    private final int memoryMb;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, Minion::daemon);
    private final String label;
    private final Gate gate;
    private Life life;
    private int lives;
    private volatile boolean cutOff;
    private volatile String lateTask = "";
    private volatile long lateMillis;
    private volatile Runnable lateReceived;

    /** One incarnation. */
    private final class Life {
        final String id;
        final long bornMillis = System.currentTimeMillis();
        final long startNanos = System.nanoTime();
        final Map<String, Run> running = new LinkedHashMap<>();
        final Map<String, Integer> lastEnded = new HashMap<>();
        final List<Object[]> ended = new ArrayList<>();
        HttpServer server;
        long fence;
        long leaseUntilMillis;
        long endNumber;
        long sequence;
        boolean crashed;

        Life(String id) {
            this.id = id;
        }

        long clockMillis() {
            return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    /** A run on a minion. */
    static final class Run {
        final Minion minion;
        final String task;
        final int number;
        final long startedMillis;
        String saved;
        long progressMillis;

        Run(Minion minion, String task, int number, String saved, long startedMillis) {
            this.minion = minion;
            this.task = task;
            this.number = number;
            this.saved = saved;
            this.startedMillis = startedMillis;
            this.progressMillis = saved.isEmpty() ? 0 : Long.parseLong(saved);
        }
    }

    Minion(Cell cell, World world, int number, int port, int cpuMillis, int memoryMb) {
        this(cell, world, number, port, cpuMillis, memoryMb, "a", null);
    }

    /** Creates a minion of a kind; if there is a gate, it listens at the port of the minion and passes on to its lives. */
    Minion(
            Cell cell, World world, int number, int port, int cpuMillis, int memoryMb, String label, Gate gate) {
        this.label = label;
        this.gate = gate;
        this.cell = cell;
        this.world = world;
        this.number = number;
        this.port = port;
        this.address = cell.host(101 + number) + ":" + port;
        this.cpuMillis = cpuMillis;
        this.memoryMb = memoryMb;
        timers.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Begins a new life at the minion's address, with a new id. */
    void start() throws IOException {
        start("i-" + Integer.toHexString(0x1000 + number) + "-" + (++lives), 0);
    }

    /** Begins a new life at the minion's address, with the id that it had. */
    void startAgain(String id, long firstHeartbeatMillis) throws IOException {
        start(id, firstHeartbeatMillis);
    }

    private synchronized void start(String id, long firstHeartbeatMillis) throws IOException {
        Life next = new Life(id);
        next.server = HttpServer.create(new InetSocketAddress(cell.host(101 + number), gate == null ? port : 0), 64);
        next.server.setExecutor(Executors.newCachedThreadPool(Minion::daemon));
        next.server.createContext("/", exchange -> receive(next, exchange));
        next.server.start();
        life = next;
        cell.recorder.add("minion " + next.id + " starts at " + address);
        if (gate != null) {
            gate.connectTo(next.server.getAddress().getPort());
        }
        timers.schedule(() -> heartbeat(next), firstHeartbeatMillis, TimeUnit.MILLISECONDS);
    }

    synchronized String id() {
        return life.id;
    }

    /** Loses power: its connections fall silent, and it can't be reached until its next life. */
    void losePower() {
        gate.powerOff();
        crash();
    }

    /** Cuts the minion off from all processes, or ends the cut. */
    void cut(boolean newCut) {
        cell.recorder.add("minion " + id() + (newCut ? " is cut off" : " is connected again"));
        cutOff = newCut;
        gate.cut(newCut);
    }

    /** Leaves the next start of a task without an answer and carries it out later. */
    void carryOutLate(String task, long millis, Runnable received) {
        lateReceived = received;
        lateMillis = millis;
        lateTask = task;
    }

    /** Crashes: all runs are gone without a word, and connections break. */
    void crash() {
        Life gone;
        synchronized (this) {
            gone = life;
            life = null;
            if (gone == null) {
                return;
            }
            gone.crashed = true;
            cell.recorder.add("minion " + gone.id + " crashes with " + gone.running.keySet());
        }
        gone.server.stop(0);
        List<Run> lost;
        synchronized (this) {
            lost = List.copyOf(gone.running.values());
            gone.running.clear();
            notifyAll();
        }
        lost.forEach(run -> world.ended(run, "lost"));
    }

    synchronized boolean up() {
        return life != null;
    }

    synchronized List<Run> runs() {
        return life == null ? List.of() : List.copyOf(life.running.values());
    }

    private void heartbeat(Life current) {
        if (current.crashed) {
            return;
        }
        ObjectNode body = MAPPER.createObjectNode();
        synchronized (this) {
            body.put("service", "pool")
                    .put("address", address)
                    .put("zone", "zone-" + (char) ('a' + number % 3))
                    .put("version", "v1")
                    .put("capacity", 8)
                    .put("state", "ready")
                    .put("cold-left-ms", 0)
                    .put("clock-ms", current.clockMillis())
                    .put("sequence", ++current.sequence)
                    .put("born", current.bornMillis);
            body.putObject("headroom").put("cpu", cpuMillis).put("mem-mb", memoryMb).put("gpu", 0);
            body.putArray("labels").add(label).add("r1-" + number / 8);
        }
        boolean acknowledged = false;
        for (int attempt = 0; attempt < cell.controls() && !acknowledged && !current.crashed; attempt++) {
            if (cutOff) {
                Cell.sleep(1_000);
                continue;
            }
            int control = (number + attempt) % cell.controls();
            acknowledged = cell.call(
                                    "POST",
                                    cell.control(control),
                                    "/v1/instances/" + current.id + "/heartbeat",
                                    body.toString(),
                                    1_000)
                            .status()
                    == 200;
        }
        timers.schedule(() -> heartbeat(current), acknowledged ? HEARTBEAT_MILLIS : 300, TimeUnit.MILLISECONDS);
    }

    private void receive(Life current, HttpExchange exchange) throws IOException {
        JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        String expected = exchange.getRequestHeaders().getFirst("X-Wasabimount-Expect-Instance");
        if (!lateTask.isEmpty()
                && exchange.getRequestURI().getPath().equals("/v1/run-start")
                && body.path("task").asText().startsWith(lateTask)) {
            lateTask = "";
            cell.recorder.add("minion " + current.id + ", born " + current.bornMillis + ", leaves the start of "
                    + body.path("task").asText() + " run " + body.path("run").asInt() + " without an answer");
            lateReceived.run();
            timers.schedule(() -> carryOut(current, expected, body), lateMillis, TimeUnit.MILLISECONDS);
            return;
        }
        ObjectNode answer = MAPPER.createObjectNode();
        int status;
        synchronized (this) {
            if (current.crashed) {
                exchange.close();
                return;
            }
            if (expected != null && !expected.equals(current.id)) {
                status = 421;
            } else if (body.path("fence").asLong(0) < current.fence) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                current.fence = body.path("fence").asLong(0);
                status = switch (exchange.getRequestURI().getPath()) {
                    case "/v1/run-start" -> startRun(current, body, answer);
                    case "/v1/run-stop" -> stopRun(current, body);
                    case "/v1/hold" -> hold(current, body, answer);
                    case "/v1/pace" -> 200;
                    default -> 400;
                };
            }
            if (current.crashed) {
                exchange.close();
                return;
            }
            answer.put("clock-ms", current.clockMillis()).put("born", current.bornMillis);
        }
        byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized void carryOut(Life current, String expected, JsonNode body) {
        if (current.crashed
                || expected != null && !expected.equals(current.id)
                || body.path("fence").asLong(0) < current.fence) {
            cell.recorder.add("the late start is rejected");
            return;
        }
        current.fence = body.path("fence").asLong(0);
        ObjectNode answer = MAPPER.createObjectNode();
        cell.recorder.add("the late start is carried out: " + startRun(current, body, answer) + " " + answer);
    }

    private int startRun(Life current, JsonNode body, ObjectNode answer) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (body.path("deadline-ms").asLong(0) <= current.clockMillis()) {
            answer.put("reason", "late");
            return 409;
        }
        extendLease(current, body);
        Run present = current.running.get(task);
        if (present != null && present.number == number) {
            return 200;
        }
        if (number <= current.lastEnded.getOrDefault(task, 0) || present != null && present.number > number) {
            answer.put("reason", "old");
            return 409;
        }
        Run run = new Run(this, task, number, body.path("saved").asText(""), current.clockMillis());
        current.running.put(task, run);
        world.started(run, current.id, body.path("spec").asText(""));
        return 200;
    }

    private int stopRun(Life current, JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = current.running.get(task);
        if (present != null && present.number <= number) {
            end(current, present, "stopped");
        }
        current.lastEnded.merge(task, number, Math::max);
        return 200;
    }

    private int hold(Life current, JsonNode body, ObjectNode answer) {
        long acknowledged = body.path("ack-offset").asLong(0);
        current.ended.removeIf(end -> (long) end[0] <= acknowledged);
        if (body.has("deadline-ms")) {
            extendLease(current, body);
        }
        long untilMillis = current.clockMillis() + Math.min(2_000, body.path("wait-ms").asLong(0));
        while (current.ended.isEmpty() && !current.crashed && current.clockMillis() < untilMillis) {
            try {
                wait(Math.max(1, untilMillis - current.clockMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        ArrayNode running = answer.putArray("running");
        current.running.values().forEach(run -> running.addArray()
                .add(run.task)
                .add(run.number)
                .add(run.saved)
                .add(world.percent(run))
                .add(world.figure(run)));
        ArrayNode ended = answer.putArray("ended");
        current.ended.stream().limit(MAX_LISTED_ENDS).forEach(end -> ended.addArray()
                .add((long) end[0])
                .add((String) end[1])
                .add((int) end[2])
                .add((String) end[3])
                .add((String) end[4]));
        return 200;
    }

    private static void extendLease(Life current, JsonNode body) {
        long untilMillis =
                Math.min(body.path("deadline-ms").asLong(), current.clockMillis() + MAX_LEASE_MILLIS);
        current.leaseUntilMillis = Math.max(current.leaseUntilMillis, untilMillis);
    }

    /** Ends a run; called by the world too. */
    synchronized void end(Run run, String how) {
        if (life != null && life.running.get(run.task) == run) {
            end(life, run, how);
        }
    }

    private void end(Life current, Run run, String how) {
        current.running.remove(run.task);
        current.lastEnded.merge(run.task, run.number, Math::max);
        current.ended.add(new Object[] {++current.endNumber, run.task, run.number, how, run.saved});
        world.ended(run, how);
        notifyAll();
    }

    private synchronized void tick() {
        if (life == null) {
            return;
        }
        Life current = life;
        for (Run run : List.copyOf(current.running.values())) {
            if (current.clockMillis() > current.leaseUntilMillis) {
                end(current, run, "lapsed");
                continue;
            }
            String how = world.work(run, TICK_MILLIS, current.clockMillis() - run.startedMillis);
            if (how != null) {
                end(current, run, how);
            }
        }
    }
}
