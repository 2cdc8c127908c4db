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
 * Reference implementation of a worker's side of its lease, for one incarnation of the worker.
 *
 * <p>Only the response to the latest heartbeat is accepted. The lease is counted from the time at which that heartbeat
 * was sent; when it expires, the tasks that may be moved to another worker are stopped. A task that was ordered to stop
 * never starts again under the same epoch, even if the order to start it arrives later.
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
     * A task that is running, has ended or must not start. The latter two are kept until the cell orders to stop the
     * task under the same epoch.
     *
     * @param order the order that started it
     * @param phase the current phase of the task
     */
    public record TrackedTask(TaskOrder order, TaskPhase phase) {

        /**
         * Returns whether the task is running.
         *
         * @return true while the task's phase is {@code RUNNING}
         */
        public boolean running() {
            return phase == TaskPhase.RUNNING;
        }
    }

    /**
     * Creates the agent of a new incarnation, which has no tasks.
     *
     * @param self the worker's state as sent in each heartbeat; its incarnation must never have been used before
     */
    public WorkerAgent(WorkerState self) {
        this.self = self;
    }

    /**
     * Creates the next heartbeat. Responses to earlier heartbeats are ignored from now on.
     *
     * @param waitMillis how long the cell may delay the response, in milliseconds
     * @param nowMillis the current monotonic time
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
     * Returns the sequence number of the latest heartbeat.
     *
     * @return the number to pass to {@link #onResponse} with the response
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Handles the response to a heartbeat.
     *
     * @param heartbeatSequence the heartbeat's sequence number; the response is ignored unless it is the latest
     * @param orders the lease and the task orders in the response
     * @param nowMillis the current monotonic time
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
     * Stops the tasks that may be moved to another worker, if the lease has expired.
     *
     * @param nowMillis the current monotonic time
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
     * Records that a running task ended by itself; ignored if the task is not running.
     *
     * @param task the task's id
     * @param phase the task's final phase
     */
    public void ended(String task, TaskPhase phase) {
        TrackedTask tracked = tasks.get(task);
        if (tracked != null && tracked.running()) {
            end(tracked, phase);
        }
    }

    /**
     * Returns whether the tasks have changed since the latest heartbeat.
     *
     * @return true if the next heartbeat should request an immediate response
     */
    public boolean hasUnreportedChanges() {
        return hasUnreportedChanges;
    }

    /**
     * Returns the running tasks.
     *
     * @return a copy
     */
    public List<TrackedTask> running() {
        return tasks.values().stream().filter(TrackedTask::running).toList();
    }

    /**
     * Returns the capacity that the running tasks use.
     *
     * @return the sum of their sizes
     */
    public Capacity used() {
        return running().stream()
                .map(task -> Capacity.of(task.order().getSize()))
                .reduce(Capacity.NONE, Capacity::plus);
    }

    /**
     * Returns and clears the tasks that were started since the last call.
     *
     * @return the tasks, in the order of their start
     */
    public List<TrackedTask> takeStarted() {
        return take(startedTasks);
    }

    /**
     * Returns and clears the tasks that ended since the last call.
     *
     * @return the tasks, in the order of their end
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
