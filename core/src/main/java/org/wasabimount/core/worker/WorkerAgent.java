package org.wasabimount.core.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.cell.PartitionPolicy;
import org.wasabimount.protocol.cell.TaskOrder;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerHeartbeat;
import org.wasabimount.protocol.cell.WorkerOrders;
import org.wasabimount.protocol.cell.WorkerState;

/**
 * One life of a worker.
 *
 * <p>It takes only the answer to its latest heartbeat. It counts its lease from the sending of that heartbeat, and stops
 * the tasks that may move when the lease is over. A task that it was told to stop never starts again under the same
 * epoch, also if the order to start it comes later.
 */
public final class WorkerAgent {

    private final WorkerState self;
    private final Map<String, HeldTask> tasks = new HashMap<>();
    private final List<HeldTask> started = new ArrayList<>();
    private final List<HeldTask> stopped = new ArrayList<>();
    private long sentMillis;
    private long sequence;
    private long leaseUntilMillis = Long.MAX_VALUE;
    private boolean news;

    /**
     * A task that the worker runs or whose end it has not yet been told to forget.
     *
     * @param order the order that started it
     * @param phase how far it is
     */
    public record HeldTask(TaskOrder order, TaskPhase phase) {

        /**
         * Tells whether the task runs.
         *
         * @return true until it ended
         */
        public boolean running() {
            return phase == TaskPhase.RUNNING;
        }
    }

    /**
     * Begins a life without tasks.
     *
     * @param self what the worker announces of itself; its incarnation must never have been used before
     */
    public WorkerAgent(WorkerState self) {
        this.self = self;
    }

    /**
     * Writes the next heartbeat; the answer to any earlier one is no longer taken.
     *
     * @param waitMillis how long the answer may be held back
     * @param nowMillis monotonic time
     * @return the heartbeat
     */
    public WorkerHeartbeat heartbeat(long waitMillis, long nowMillis) {
        sequence++;
        sentMillis = nowMillis;
        news = false;
        WorkerHeartbeat.Builder heartbeat =
                WorkerHeartbeat.newBuilder().setWorker(self).setWaitMillis(waitMillis);
        tasks.values()
                .forEach(task -> heartbeat.addTasks(TaskReport.newBuilder()
                        .setTask(task.order().getTask())
                        .setEpoch(task.order().getEpoch())
                        .setPhase(task.phase())
                        .setWorker(self.getWorker())));
        return heartbeat.build();
    }

    /**
     * Returns the number of the latest heartbeat.
     *
     * @return the number to give to {@link #answered}
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Takes the answer to a heartbeat.
     *
     * @param answeredSequence the heartbeat's number; any but the latest is dropped
     * @param orders the orders
     * @param nowMillis monotonic time
     */
    public void answered(long answeredSequence, WorkerOrders orders, long nowMillis) {
        if (answeredSequence != sequence) {
            return;
        }
        sequence++;
        leaseUntilMillis = sentMillis + orders.getLeaseMillis();
        tick(nowMillis);
        if (nowMillis < leaseUntilMillis) {
            orders.getStopList().forEach(this::stop);
            orders.getStartList().forEach(this::start);
        }
    }

    /**
     * Stops the tasks that may move if the lease is over.
     *
     * @param nowMillis monotonic time
     */
    public void tick(long nowMillis) {
        if (nowMillis >= leaseUntilMillis) {
            List.copyOf(tasks.values()).stream()
                    .filter(HeldTask::running)
                    .filter(task -> task.order().getOnPartition() == PartitionPolicy.MOVE)
                    .forEach(task -> end(task, TaskPhase.STOPPED));
        }
    }

    /**
     * Notes that a running task ended by itself.
     *
     * @param task the task's id
     * @param phase how it ended
     */
    public void ended(String task, TaskPhase phase) {
        HeldTask held = tasks.get(task);
        if (held != null && held.running()) {
            end(held, phase);
        }
    }

    /**
     * Tells whether the cell has not yet been told of something.
     *
     * @return true if the next heartbeat should not wait
     */
    public boolean news() {
        return news;
    }

    /**
     * Returns the tasks that run.
     *
     * @return a copy
     */
    public List<HeldTask> running() {
        return tasks.values().stream().filter(HeldTask::running).toList();
    }

    /**
     * Returns what the running tasks hold.
     *
     * @return the sum of their sizes
     */
    public Capacity used() {
        return running().stream()
                .map(task -> Capacity.of(task.order().getSize()))
                .reduce(Capacity.NONE, Capacity::plus);
    }

    /**
     * Takes the tasks that were started since the last call.
     *
     * @return the tasks, in order
     */
    public List<HeldTask> takeStarted() {
        return take(started);
    }

    /**
     * Takes the tasks that ended since the last call.
     *
     * @return the tasks, in order
     */
    public List<HeldTask> takeEnded() {
        return take(stopped);
    }

    private static List<HeldTask> take(List<HeldTask> list) {
        List<HeldTask> taken = List.copyOf(list);
        list.clear();
        return taken;
    }

    private void start(TaskOrder order) {
        HeldTask held = tasks.get(order.getTask());
        if (held == null || held.order().getEpoch() < order.getEpoch() && !held.running()) {
            HeldTask task = new HeldTask(order, TaskPhase.RUNNING);
            tasks.put(order.getTask(), task);
            started.add(task);
            news = true;
        }
    }

    private void stop(TaskOrder order) {
        HeldTask held = tasks.get(order.getTask());
        if (held == null || held.order().getEpoch() < order.getEpoch() && !held.running()) {
            tasks.put(order.getTask(), new HeldTask(order, TaskPhase.STOPPED));
            news = true;
        } else if (held.order().getEpoch() == order.getEpoch()) {
            if (held.running()) {
                end(held, TaskPhase.STOPPED);
            } else {
                tasks.remove(order.getTask());
            }
        }
    }

    private void end(HeldTask task, TaskPhase phase) {
        HeldTask ended = new HeldTask(task.order(), phase);
        tasks.put(task.order().getTask(), ended);
        stopped.add(ended);
        news = true;
    }
}
