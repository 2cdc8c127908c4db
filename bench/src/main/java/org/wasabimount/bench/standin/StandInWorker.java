package org.wasabimount.bench.standin;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.wasabimount.client.HttpResult;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.worker.WorkerAgent;
import org.wasabimount.protocol.cell.PartitionPolicy;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.TaskOrder;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.WorkerHeartbeat;
import org.wasabimount.protocol.cell.WorkerOrders;
import org.wasabimount.protocol.cell.WorkerState;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A worker that keeps the rules of {@link WorkerAgent} and runs tasks by doing nothing for as long as they last. */
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
    private final WorkerAgent agent;
    private final Map<String, Long> endsMillis = new HashMap<>();
    private boolean asking;

    /**
     * What a worker announces and how its tasks end.
     *
     * @param name its id
     * @param domain its failure domain
     * @param rack its rack
     * @param size its processors, memory and accelerators
     * @param failsAll whether every task fails at once
     */
    public record Settings(String name, String domain, String rack, Capacity size, boolean failsAll) {}

    StandInWorker(Settings settings, Announcer announcer, ScheduledExecutorService thread, Consumer<String> journal) {
        this.settings = settings;
        this.announcer = announcer;
        this.thread = thread;
        this.journal = journal;
        this.agent = new WorkerAgent(WorkerState.newBuilder()
                .setWorker(settings.name())
                .setIncarnation(System.currentTimeMillis())
                .setDomain(settings.domain())
                .setRack(settings.rack())
                .setSize(settings.size().toQuantity())
                .build());
    }

    /** Begins to send heartbeats. */
    public void start() {
        thread.scheduleAtFixedRate(this::step, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void step() {
        long nowMillis = nowMillis();
        agent.tick(nowMillis);
        agent.running().stream()
                .map(task -> task.order().getTask())
                .filter(task -> nowMillis >= endsMillis.get(task))
                .forEach(task -> agent.ended(task, settings.failsAll() ? TaskPhase.FAILED : TaskPhase.SUCCEEDED));
        writeJournal(nowMillis);
        if (!asking) {
            ask(nowMillis);
        }
    }

    private void ask(long nowMillis) {
        asking = true;
        WorkerHeartbeat heartbeat = agent.heartbeat(agent.hasUnreportedChanges() ? 0 : WAIT_MILLIS, nowMillis);
        long sequence = agent.sequence();
        announcer
                .post("/platform/worker", write(heartbeat), TIMEOUT_MILLIS)
                .thenAccept(result -> thread.execute(() -> answered(result, sequence)));
    }

    private void answered(HttpResult result, long sequence) {
        asking = false;
        if (!result.hasStatus(OK)) {
            announcer.next();
            return;
        }
        try {
            agent.onResponse(sequence, read(MAPPER.readTree(result.response().body())), nowMillis());
            writeJournal(nowMillis());
        } catch (IOException e) {
            announcer.next();
        }
    }

    private void writeJournal(long nowMillis) {
        agent.takeStarted().forEach(task -> {
            TaskOrder order = task.order();
            endsMillis.put(order.getTask(), nowMillis + runMillis(order));
            journal.accept("start " + order.getTask() + " " + order.getEpoch() + " " + settings.name());
        });
        agent.takeEnded()
                .forEach(task -> journal.accept("end " + task.order().getTask() + " "
                        + task.order().getEpoch() + " " + settings.name() + " " + task.phase()));
    }

    private long runMillis(TaskOrder order) {
        if (settings.failsAll()) {
            return 0;
        }
        boolean service = order.getTask().contains("/services/");
        return service ? Long.MAX_VALUE / 2 : order.getDeclaredRunMillis();
    }

    private static ObjectNode write(WorkerHeartbeat heartbeat) {
        WorkerState self = heartbeat.getWorker();
        ObjectNode body = MAPPER.createObjectNode()
                .put("worker", self.getWorker())
                .put("incarnation", self.getIncarnation())
                .put("domain", self.getDomain())
                .put("rack", self.getRack())
                .put("waitMillis", heartbeat.getWaitMillis());
        body.putObject("size")
                .put("cpuMillis", self.getSize().getCpuMillis())
                .put("memoryMegabytes", self.getSize().getMemoryMegabytes())
                .put("accelerators", self.getSize().getAccelerators());
        ArrayNode tasks = body.putArray("tasks");
        heartbeat
                .getTasksList()
                .forEach(task -> tasks.addObject()
                        .put("task", task.getTask())
                        .put("epoch", task.getEpoch())
                        .put("phase", task.getPhase().name()));
        return body;
    }

    private static WorkerOrders read(JsonNode json) {
        WorkerOrders.Builder orders = WorkerOrders.newBuilder()
                .setLeaseMillis(json.path("leaseMillis").asLong());
        json.path("start").forEach(order -> orders.addStart(readOrder(order)));
        json.path("stop").forEach(order -> orders.addStop(readOrder(order)));
        return orders.build();
    }

    private static TaskOrder readOrder(JsonNode json) {
        JsonNode size = json.path("size");
        return TaskOrder.newBuilder()
                .setTask(json.path("task").asText())
                .setEpoch(json.path("epoch").asLong())
                .setOnPartition(PartitionPolicy.valueOf(json.path("onPartition").asText("MOVE")))
                .setDeclaredRunMillis(json.path("declaredRunMillis").asLong())
                .setSize(Quantity.newBuilder()
                        .setCpuMillis(size.path("cpuMillis").asLong())
                        .setMemoryMegabytes(size.path("memoryMegabytes").asLong())
                        .setAccelerators(size.path("accelerators").asLong()))
                .build();
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
