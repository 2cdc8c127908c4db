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
    private final Map<String, TrackedTask> tasks = new HashMap<>();
    private final List<TrackedTask> startedTasks = new ArrayList<>();
    private final List<TrackedTask> endedTasks = new ArrayList<>();
    private long sentMillis;
    private long sequence;
    private long leaseUntilMillis = Long.MAX_VALUE;
    private boolean hasUnreportedChanges;

    /**
     * A task that the worker runs or whose end it has not yet been told to forget.
     *
     * @param order the order that started it
     * @param phase how far it is
     */
    public record TrackedTask(TaskOrder order, TaskPhase phase) {

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
        hasUnreportedChanges = false;
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
     * @return the number to give to {@link #onResponse}
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Takes the answer to a heartbeat.
     *
     * @param heartbeatSequence the heartbeat's number; any but the latest is dropped
     * @param orders the orders
     * @param nowMillis monotonic time
     */
    public void onResponse(long heartbeatSequence, WorkerOrders orders, long nowMillis) {
        if (heartbeatSequence != sequence) {
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
                    .filter(TrackedTask::running)
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
        TrackedTask tracked = tasks.get(task);
        if (tracked != null && tracked.running()) {
            end(tracked, phase);
        }
    }

    /**
     * Tells whether the cell has not yet been told of something.
     *
     * @return true if the next heartbeat should not wait
     */
    public boolean hasUnreportedChanges() {
        return hasUnreportedChanges;
    }

    /**
     * Returns the tasks that run.
     *
     * @return a copy
     */
    public List<TrackedTask> running() {
        return tasks.values().stream().filter(TrackedTask::running).toList();
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
    public List<TrackedTask> takeStarted() {
        return take(startedTasks);
    }

    /**
     * Takes the tasks that ended since the last call.
     *
     * @return the tasks, in order
     */
    public List<TrackedTask> takeEnded() {
        return take(endedTasks);
    }

    private static List<TrackedTask> take(List<TrackedTask> list) {
        List<TrackedTask> taken = List.copyOf(list);
        list.clear();
        return taken;
    }

    private void start(TaskOrder order) {
        TrackedTask tracked = tasks.get(order.getTask());
        if (tracked == null || tracked.order().getEpoch() < order.getEpoch() && !tracked.running()) {
            TrackedTask task = new TrackedTask(order, TaskPhase.RUNNING);
            tasks.put(order.getTask(), task);
            startedTasks.add(task);
            hasUnreportedChanges = true;
        }
    }

    private void stop(TaskOrder order) {
        TrackedTask tracked = tasks.get(order.getTask());
        if (tracked == null || tracked.order().getEpoch() < order.getEpoch() && !tracked.running()) {
            tasks.put(order.getTask(), new TrackedTask(order, TaskPhase.STOPPED));
            hasUnreportedChanges = true;
        } else if (tracked.order().getEpoch() == order.getEpoch()) {
            if (tracked.running()) {
                end(tracked, TaskPhase.STOPPED);
            } else {
                tasks.remove(order.getTask());
            }
        }
    }

    private void end(TrackedTask task, TaskPhase phase) {
        TrackedTask ended = new TrackedTask(task.order(), phase);
        tasks.put(task.order().getTask(), ended);
        endedTasks.add(ended);
        hasUnreportedChanges = true;
    }
}
