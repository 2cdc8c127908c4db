package org.wasabimount.bench.standin;

import java.io.IOException;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A worker that keeps its lease and runs tasks by doing nothing for as long as they last.
 *
 * <p>The rules that every worker must keep: it takes only the answer to its latest heartbeat; it stops tasks that move
 * when the lease counted from that heartbeat's sending is over; a task that it was told to stop never starts again
 * under the same epoch.
 */
public final class StandInWorker {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long WAIT_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long PERIOD_MILLIS = 50;
    private static final int OK = 200;

    private final Settings settings;
    private final Announcer announcer;
    private final ScheduledExecutorService thread;
    private final Consumer<String> journal;
    private final String incarnation = Long.toString(System.currentTimeMillis());
    private final Map<String, RunningTask> tasks = new HashMap<>();
    private boolean asking;
    private boolean news;
    private long leaseUntilMillis = Long.MAX_VALUE;

    /**
     * What a worker announces and how its tasks end.
     *
     * @param name its id
     * @param domain its failure domain
     * @param rack its rack
     * @param cpuMillis thousandths of a processor
     * @param memoryMegabytes megabytes of memory
     * @param accelerators whole accelerators
     * @param failsAll whether every task fails at once
     */
    public record Settings(
            String name,
            String domain,
            String rack,
            long cpuMillis,
            long memoryMegabytes,
            long accelerators,
            boolean failsAll) {}

    private static final class RunningTask {
        private final long epoch;
        private final boolean moves;
        private final long endsMillis;
        private String phase;

        RunningTask(long epoch, boolean moves, long endsMillis, String phase) {
            this.epoch = epoch;
            this.moves = moves;
            this.endsMillis = endsMillis;
            this.phase = phase;
        }

        boolean running() {
            return phase.equals("RUNNING");
        }
    }

    StandInWorker(Settings settings, Announcer announcer, ScheduledExecutorService thread, Consumer<String> journal) {
        this.settings = settings;
        this.announcer = announcer;
        this.thread = thread;
        this.journal = journal;
    }

    /** Begins to send heartbeats. */
    public void start() {
        thread.scheduleAtFixedRate(this::step, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void step() {
        long nowMillis = nowMillis();
        if (nowMillis >= leaseUntilMillis) {
            stopMovingTasks();
        }
        tasks.forEach((id, task) -> {
            if (task.running() && nowMillis >= task.endsMillis) {
                end(id, task, settings.failsAll() ? "FAILED" : "SUCCEEDED");
            }
        });
        if (!asking) {
            ask(nowMillis);
        }
    }

    private void ask(long sentMillis) {
        asking = true;
        long waitMillis = news ? 0 : WAIT_MILLIS;
        news = false;
        announcer
                .post("/platform/worker", heartbeat(waitMillis), TIMEOUT_MILLIS)
                .thenAccept(result -> thread.execute(() -> answered(result, sentMillis)));
    }

    private void answered(HttpResult result, long sentMillis) {
        asking = false;
        if (!result.is(OK)) {
            announcer.next();
            return;
        }
        try {
            JsonNode orders = MAPPER.readTree(result.answer().body());
            leaseUntilMillis = sentMillis + orders.path("leaseMillis").asLong();
            if (nowMillis() < leaseUntilMillis) {
                orders.path("stop").forEach(this::stop);
                orders.path("start").forEach(this::begin);
            }
        } catch (IOException e) {
            announcer.next();
        }
    }

    private void begin(JsonNode order) {
        String id = order.path("task").asText();
        long epoch = order.path("epoch").asLong();
        RunningTask known = tasks.get(id);
        if (known != null && known.epoch >= epoch) {
            return;
        }
        boolean service = id.contains("/services/");
        long runMillis = order.path("declaredRunMillis").asLong();
        long endsMillis = service && !settings.failsAll() ? Long.MAX_VALUE : nowMillis() + runMillis;
        boolean moves = order.path("onPartition").asText().equals("MOVE");
        tasks.put(id, new RunningTask(epoch, moves, settings.failsAll() ? 0 : endsMillis, "RUNNING"));
        news = true;
        journal.accept("start " + id + " " + epoch + " " + settings.name());
    }

    private void stop(JsonNode order) {
        String id = order.path("task").asText();
        long epoch = order.path("epoch").asLong();
        RunningTask known = tasks.get(id);
        if (known == null || known.epoch < epoch) {
            tasks.put(id, new RunningTask(epoch, true, Long.MAX_VALUE, "STOPPED"));
            news = true;
        } else if (known.epoch == epoch && known.running()) {
            end(id, known, "STOPPED");
        } else if (known.epoch == epoch) {
            tasks.remove(id);
        }
    }

    private void stopMovingTasks() {
        tasks.forEach((id, task) -> {
            if (task.running() && task.moves) {
                end(id, task, "STOPPED");
            }
        });
    }

    private void end(String id, RunningTask task, String phase) {
        task.phase = phase;
        news = true;
        journal.accept("end " + id + " " + task.epoch + " " + settings.name() + " " + phase);
    }

    private ObjectNode heartbeat(long waitMillis) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("worker", settings.name())
                .put("incarnation", incarnation)
                .put("domain", settings.domain())
                .put("rack", settings.rack())
                .put("waitMillis", waitMillis);
        body.putObject("size")
                .put("cpuMillis", settings.cpuMillis())
                .put("memoryMegabytes", settings.memoryMegabytes())
                .put("accelerators", settings.accelerators());
        ArrayNode list = body.putArray("tasks");
        Iterator<Map.Entry<String, RunningTask>> all = tasks.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, RunningTask> task = all.next();
            list.addObject()
                    .put("task", task.getKey())
                    .put("epoch", task.getValue().epoch)
                    .put("phase", task.getValue().phase);
        }
        return body;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
