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

/**
 * A worker that follows the protocol of {@link WorkerAgent}. Its tasks do nothing; they end after their declared run time,
 * and tasks of services run until they are stopped.
 */
public final class StandInWorker {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long HEARTBEAT_WAIT_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long PERIOD_MILLIS = 50;
    private static final int OK = 200;

    private final Settings settings;
    private final Announcer announcer;
    private final ScheduledExecutorService executor;
    private final Consumer<String> eventLog;
    private final WorkerAgent agent;
    private final Map<String, Long> endMillisByTask = new HashMap<>();
    private boolean heartbeatPending;

    /**
     * What a worker announces and whether its tasks fail.
     *
     * @param name its id
     * @param domain its failure domain
     * @param rack its rack
     * @param size its processors, memory and accelerators
     * @param failsAllTasks whether every task fails immediately
     */
    public record Settings(String name, String domain, String rack, Capacity size, boolean failsAllTasks) {}

    StandInWorker(
            Settings settings, Announcer announcer, ScheduledExecutorService executor, Consumer<String> eventLog) {
        this.settings = settings;
        this.announcer = announcer;
        this.executor = executor;
        this.eventLog = eventLog;
        this.agent = new WorkerAgent(WorkerState.newBuilder()
                .setWorker(settings.name())
                .setIncarnation(System.currentTimeMillis())
                .setDomain(settings.domain())
                .setRack(settings.rack())
                .setSize(settings.size().toQuantity())
                .build());
    }

    /** Starts the periodic heartbeats. */
    public void start() {
        executor.scheduleAtFixedRate(this::poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        long nowMillis = nowMillis();
        agent.tick(nowMillis);
        agent.running().stream()
                .map(task -> task.order().getTask())
                .filter(task -> nowMillis >= endMillisByTask.get(task))
                .forEach(task -> agent.ended(task, settings.failsAllTasks() ? TaskPhase.FAILED : TaskPhase.SUCCEEDED));
        logEvents(nowMillis);
        if (!heartbeatPending) {
            sendHeartbeat(nowMillis);
        }
    }

    private void sendHeartbeat(long nowMillis) {
        heartbeatPending = true;
        WorkerHeartbeat heartbeat =
                agent.heartbeat(agent.hasUnreportedChanges() ? 0 : HEARTBEAT_WAIT_MILLIS, nowMillis);
        long sequence = agent.sequence();
        announcer
                .post("/platform/worker", toJson(heartbeat), TIMEOUT_MILLIS)
                .thenAccept(result -> executor.execute(() -> onHeartbeatResult(result, sequence)));
    }

    private void onHeartbeatResult(HttpResult result, long sequence) {
        heartbeatPending = false;
        if (!result.hasStatus(OK)) {
            announcer.next();
            return;
        }
        try {
            agent.onResponse(
                    sequence, parseOrders(MAPPER.readTree(result.response().body())), nowMillis());
            logEvents(nowMillis());
        } catch (IOException e) {
            announcer.next();
        }
    }

    private void logEvents(long nowMillis) {
        agent.takeStarted().forEach(task -> {
            TaskOrder order = task.order();
            endMillisByTask.put(order.getTask(), nowMillis + runMillis(order));
            eventLog.accept("start " + order.getTask() + " " + order.getEpoch() + " " + settings.name());
        });
        agent.takeEnded()
                .forEach(task -> eventLog.accept("end " + task.order().getTask() + " "
                        + task.order().getEpoch() + " " + settings.name() + " " + task.phase()));
    }

    private long runMillis(TaskOrder order) {
        if (settings.failsAllTasks()) {
            return 0;
        }
        boolean service = order.getTask().contains("/services/");
        return service ? Long.MAX_VALUE / 2 : order.getDeclaredRunMillis();
    }

    private static ObjectNode toJson(WorkerHeartbeat heartbeat) {
        WorkerState workerState = heartbeat.getWorker();
        ObjectNode body = MAPPER.createObjectNode()
                .put("worker", workerState.getWorker())
                .put("incarnation", workerState.getIncarnation())
                .put("domain", workerState.getDomain())
                .put("rack", workerState.getRack())
                .put("waitMillis", heartbeat.getWaitMillis());
        body.putObject("size")
                .put("cpuMillis", workerState.getSize().getCpuMillis())
                .put("memoryMegabytes", workerState.getSize().getMemoryMegabytes())
                .put("accelerators", workerState.getSize().getAccelerators());
        ArrayNode tasks = body.putArray("tasks");
        heartbeat
                .getTasksList()
                .forEach(task -> tasks.addObject()
                        .put("task", task.getTask())
                        .put("epoch", task.getEpoch())
                        .put("phase", task.getPhase().name()));
        return body;
    }

    private static WorkerOrders parseOrders(JsonNode json) {
        WorkerOrders.Builder orders = WorkerOrders.newBuilder()
                .setLeaseMillis(json.path("leaseMillis").asLong());
        json.path("start").forEach(order -> orders.addStart(parseOrder(order)));
        json.path("stop").forEach(order -> orders.addStop(parseOrder(order)));
        return orders.build();
    }

    private static TaskOrder parseOrder(JsonNode json) {
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
