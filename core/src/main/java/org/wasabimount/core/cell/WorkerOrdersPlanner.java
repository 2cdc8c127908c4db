package org.wasabimount.core.cell;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.wasabimount.protocol.cell.TaskOrder;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerHeartbeat;
import org.wasabimount.protocol.cell.WorkerOrders;

/**
 * Compares the tasks that a worker reports with those that the cell's state assigns to it.
 *
 * <p>A stop order is repeated until the worker itself reports the task's end, even if the worker never held the task:
 * only then does the worker refuse a start order that is still in flight.
 */
public final class WorkerOrdersPlanner {

    private WorkerOrdersPlanner() {}

    /**
     * Returns the reports that change the state of a task.
     *
     * @param state the cell's state
     * @param heartbeat the worker's heartbeat
     * @return the reports to put into the log
     */
    public static List<TaskReport> newReports(CellState state, WorkerHeartbeat heartbeat) {
        return heartbeat.getTasksList().stream()
                .filter(report -> state.task(report.getTask())
                        .filter(task -> isCurrent(task, report))
                        .filter(task -> advancesState(task, report.getPhase()))
                        .isPresent())
                .toList();
    }

    /**
     * Builds the response to a heartbeat.
     *
     * @param state the cell's state
     * @param heartbeat the worker's heartbeat
     * @param leaseMillis the lease to grant in milliseconds
     * @return the lease and the tasks that the worker is to start, to stop and to forget
     */
    public static WorkerOrders plan(CellState state, WorkerHeartbeat heartbeat, long leaseMillis) {
        WorkerOrders.Builder orders = WorkerOrders.newBuilder().setLeaseMillis(leaseMillis);
        Worker worker = state.worker(heartbeat.getWorker().getWorker()).orElse(null);
        boolean registered =
                worker != null && worker.incarnation() == heartbeat.getWorker().getIncarnation();
        if (!registered) {
            return orders.build();
        }
        Map<String, TaskReport> reportsByTask = heartbeat.getTasksList().stream()
                .collect(Collectors.toMap(TaskReport::getTask, Function.identity(), (first, second) -> second));
        worker.tasks().stream()
                .filter(task -> task.state() != TaskState.STOPPING)
                .filter(task -> !isCurrentBinding(reportsByTask.get(task.id()), task))
                .forEach(task -> orders.addStart(toOrder(task)));
        worker.tasks().stream()
                .filter(task -> task.state() == TaskState.STOPPING)
                .filter(task -> !reportedAsEnded(reportsByTask.get(task.id()), task))
                .forEach(task -> orders.addStop(toOrder(task)));
        reportsByTask.values().stream()
                .filter(report -> isUnassigned(state, worker, report))
                .forEach(report -> orders.addStop(
                        TaskOrder.newBuilder().setTask(report.getTask()).setEpoch(report.getEpoch())));
        return orders.build();
    }

    private static boolean isCurrentBinding(TaskReport report, Task task) {
        return report != null && report.getEpoch() == task.epoch();
    }

    private static boolean reportedAsEnded(TaskReport report, Task task) {
        return isCurrentBinding(report, task) && TaskState.of(report.getPhase()).ended();
    }

    private static boolean isCurrent(Task task, TaskReport report) {
        return task.state().holdsCapacity()
                && task.epoch() == report.getEpoch()
                && task.worker().id().name().equals(report.getWorker());
    }

    private static boolean advancesState(Task task, TaskPhase phase) {
        return switch (phase) {
            case RUNNING -> task.state() == TaskState.BOUND;
            case SUCCEEDED, FAILED, STOPPED -> true;
            default -> false;
        };
    }

    private static boolean isUnassigned(CellState state, Worker worker, TaskReport report) {
        return state.task(report.getTask())
                .filter(task -> task.worker() == worker && task.epoch() == report.getEpoch())
                .isEmpty();
    }

    private static TaskOrder toOrder(Task task) {
        return TaskOrder.newBuilder()
                .setTask(task.id())
                .setEpoch(task.epoch())
                .setOnPartition(task.owner().spec().getOnPartition())
                .setSize(task.owner().taskSize().toQuantity())
                .setDeclaredRunMillis(task.owner().spec().getDeclaredRunMillis())
                .build();
    }
}
