import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for one life of a minion, by the page PROTOCOL.md. A task's "spec" is the time in milliseconds that it
 * works; it then ends as done.
 */
class Minion {

    static final int PORT = 8080;

    final String id;
    final String address;
    final String kind;
    final String rack;
    final Record record;
    private final String service;
    private final String zone;
    private final List<String> controls;
    private final long startNanos = System.nanoTime();
    final long born = System.currentTimeMillis();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "minion");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long endNumber;
    private long fence;
    private long leaseUntil;
    private long sequence;
    volatile boolean draining;
    volatile boolean down;
    /** Whether starts and ends are left out of the record. */
    volatile boolean quiet;
    private int control;

    private record Run(String task, int run, long endMillis, long lengthMillis, String how) {}

    private record End(long number, String task, int run, String how) {}

    Minion(Record record, String id, String ip, String service, String zone, String rack, List<String> controls)
            throws IOException {
        this(record, id, ip, PORT, service, zone, "a", rack, controls);
    }

    Minion(
            Record record,
            String id,
            String ip,
            int listenPort,
            String service,
            String zone,
            String kind,
            String rack,
            List<String> controls)
            throws IOException {
        this.record = record;
        this.kind = kind;
        this.id = id;
        this.address = ip + ":" + PORT;
        this.service = service;
        this.zone = zone;
        this.rack = rack;
        this.controls = controls;
        this.control = Math.floorMod(id.hashCode(), controls.size());
        this.server = HttpServer.create(new InetSocketAddress(ip, listenPort), 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::beat);
        threads.execute(this::work);
    }

    long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Ends this life without a word; everything that runs ends with it. */
    void crash() {
        down = true;
        server.stop(0);
        synchronized (this) {
            running.keySet().forEach(task -> record.line("minion " + id + " crashes with " + task));
            running.clear();
            notifyAll();
        }
        // Not interrupted: a call to a control node may be in progress, and no thread does anything more.
        threads.shutdown();
    }

    synchronized List<String> tasks() {
        return new ArrayList<>(running.keySet());
    }

    /** Returns after how many milliseconds the first heartbeat is sent. */
    long firstBeatMillis() {
        return 0;
    }

    /** Called before a start is handled; a subclass may leave the call without an answer. */
    boolean answersStart(String task, int run) {
        return true;
    }

    /** Returns after how many milliseconds a task that has just begun fails, or -1 if it does not. */
    long failsAfterMillis(String task, int run) {
        return -1;
    }

    /** Called when a run has ended; not called for those that end with the minion. */
    void ended(String task, int run, String how) {}

    /** Ends a run of a gang because another member has ended. */
    synchronized void breakRun(String task, int run) {
        Run present = running.get(task);
        if (present != null && present.run == run) {
            end(present, "broken");
        }
    }

    /** Called when the control nodes have acknowledged a heartbeat. */
    void acknowledged(boolean sentDraining) {}

    private void beat() {
        try {
            Thread.sleep(firstBeatMillis());
            while (!down) {
                boolean drains = draining;
                String body = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"capacity\":8,\"state\":\"" + (drains ? "draining" : "ready")
                        + "\",\"cold-left-ms\":0,\"headroom\":{\"cpu\":64000,\"mem-mb\":131072,\"gpu\":0},"
                        + "\"labels\":[\"" + kind + "\",\"" + rack + "\"],\"clock-ms\":" + clock() + ",\"sequence\":" + ++sequence
                        + ",\"born\":" + born + (drains ? ",\"drain-remaining-ms\":3000" : "") + "}";
                boolean acknowledged = false;
                for (int i = 0; i < controls.size() && !acknowledged && !down; i++) {
                    Http.Answer answer = Http.call(
                            "POST",
                            controls.get(control),
                            "/v1/instances/" + id + "/heartbeat",
                            null,
                            body,
                            1000);
                    acknowledged = answer.status() / 100 == 2;
                    if (!acknowledged) {
                        control = (control + 1) % controls.size();
                    }
                }
                if (acknowledged) {
                    acknowledged(drains);
                }
                for (int i = 0; i < 15 && drains == draining && !down; i++) {
                    Thread.sleep(acknowledged ? 100 : 20);
                }
            }
        } catch (InterruptedException e) {
            // This life has ended.
        }
    }

    private void work() {
        try {
            while (!down) {
                synchronized (this) {
                    expire();
                    long now = clock();
                    for (Run run : List.copyOf(running.values())) {
                        if (run.endMillis <= now) {
                            end(run, run.how);
                        }
                    }
                }
                Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            // This life has ended.
        }
    }

    private void expire() {
        if (!running.isEmpty() && clock() > leaseUntil) {
            for (Run run : List.copyOf(running.values())) {
                end(run, "lapsed");
            }
        }
    }

    private void log(String line) {
        if (!quiet) {
            record.line(line);
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.run, Math::max);
        ends.add(new End(++endNumber, run.task, run.run, how));
        log("minion " + id + " ends " + run.task + " run " + run.run + " " + how);
        notifyAll();
        ended(run.task, run.run, how);
    }

    /** Returns how a run ends that has worked for its time. */
    String doneName(String task, int run) {
        return "done";
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String expected = exchange.getRequestHeaders().getFirst("X-Wasabimount-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            answer(exchange, 421, "{\"clock-ms\":" + clock() + "}");
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/run-start" -> start(exchange, body);
            case "/v1/run-stop" -> stop(exchange, body);
            case "/v1/hold" -> hold(exchange, body);
            case "/health" -> answer(exchange, 200, "{}");
            default -> answer(exchange, 404, "{}");
        }
    }

    private void start(HttpExchange exchange, String body) throws IOException {
        String task = text(body, "task");
        int run = (int) number(body, "run");
        if (!answersStart(task, run)) {
            exchange.close();
            return;
        }
        String refusal = null;
        synchronized (this) {
            if (down) {
                exchange.close();
                return;
            }
            Run present = running.get(task);
            if (number(body, "fence") < fence) {
                refusal = "fence";
            } else {
                fence = number(body, "fence");
                long until = Math.min(number(body, "deadline-ms"), clock() + 6000);
                if (present == null && run <= highestEnded.getOrDefault(task, 0)) {
                    leaseUntil = Math.max(leaseUntil, until);
                    refusal = "old";
                } else if (present == null && until <= clock()) {
                    refusal = "late";
                } else if (present == null) {
                    leaseUntil = Math.max(leaseUntil, until);
                    long length = Long.parseLong(text(body, "spec"));
                    long failsAfter = failsAfterMillis(task, run);
                    running.put(
                            task,
                            failsAfter < 0
                                    ? new Run(task, run, clock() + length, length, doneName(task, run))
                                    : new Run(task, run, clock() + failsAfter, length, "failed"));
                    log("minion " + id + " starts " + task + " run " + run);
                    notifyAll();
                } else {
                    leaseUntil = Math.max(leaseUntil, until);
                }
            }
        }
        if (refusal == null) {
            answer(exchange, 200, "{\"clock-ms\":" + clock() + "}");
        } else {
            answer(exchange, 409, "{\"clock-ms\":" + clock() + ",\"reason\":\"" + refusal + "\"}");
        }
    }

    private void stop(HttpExchange exchange, String body) throws IOException {
        String task = text(body, "task");
        int run = (int) number(body, "run");
        synchronized (this) {
            if (number(body, "fence") < fence) {
                answer(exchange, 409, "{\"clock-ms\":" + clock() + ",\"reason\":\"fence\"}");
                return;
            }
            fence = number(body, "fence");
            Run present = running.get(task);
            if (present != null && present.run <= run) {
                end(present, "stopped");
            }
            highestEnded.merge(task, run, Math::max);
        }
        answer(exchange, 200, "{\"clock-ms\":" + clock() + "}");
    }

    private void hold(HttpExchange exchange, String body) throws IOException {
        String list;
        synchronized (this) {
            if (number(body, "fence") < fence) {
                answer(exchange, 409, "{\"clock-ms\":" + clock() + ",\"reason\":\"fence\"}");
                return;
            }
            fence = number(body, "fence");
            expire();
            long until = number(body, "deadline-ms");
            if (until > 0) {
                leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + 6000));
            }
            long acknowledged = number(body, "ack-offset");
            for (Iterator<End> iterator = ends.iterator(); iterator.hasNext(); ) {
                if (iterator.next().number <= acknowledged) {
                    iterator.remove();
                }
            }
            long waitUntil = clock() + Math.min(2000, number(body, "wait-ms"));
            try {
                while (ends.isEmpty() && clock() < waitUntil && !down) {
                    wait(Math.max(1, waitUntil - clock()));
                }
            } catch (InterruptedException e) {
                return;
            }
            if (down) {
                return;
            }
            StringBuilder text = new StringBuilder("{\"clock-ms\":" + clock() + ",\"born\":" + born + ",\"running\":[");
            String separator = "";
            for (Run run : running.values()) {
                long done = run.lengthMillis - (run.endMillis - clock());
                text.append(separator)
                        .append("[\"" + run.task + "\"," + run.run + ",\"\","
                                + Math.max(0, Math.min(100, done * 100 / Math.max(1, run.lengthMillis))) + ",0]");
                separator = ",";
            }
            text.append("],\"ended\":[");
            separator = "";
            for (End end : ends.subList(0, Math.min(500, ends.size()))) {
                text.append(separator)
                        .append("[" + end.number + ",\"" + end.task + "\"," + end.run + ",\"" + end.how + "\",\"\"]");
                separator = ",";
            }
            list = text.append("]}").toString();
        }
        answer(exchange, 200, list);
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String text(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(-?\\d+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }
}
