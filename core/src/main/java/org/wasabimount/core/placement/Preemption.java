package org.wasabimount.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.DeclaredResource;
import org.wasabimount.core.cell.Task;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.protocol.cell.PreemptTasks;
import org.wasabimount.protocol.cell.TaskReport;

/**
 * Frees capacity for urgent work and services that fit on no worker, by stopping batch tasks.
 *
 * <p>It chooses the worker on which the fewest tasks must be stopped, and of its tasks those that were started last, so
 * that the least work is lost.
 */
final class Preemption {

    /** Time for stopped tasks to release their capacity before more tasks are stopped for the same resource. */
    private static final long PREEMPTION_SETTLE_MILLIS = 1_000;

    private final Map<DeclaredResource, Long> lastPreemptionMillis = new HashMap<>();

    /** Returns whether tasks may be stopped for a resource now. */
    boolean isDue(DeclaredResource resource, long nowMillis) {
        Long last = lastPreemptionMillis.get(resource);
        return last == null || nowMillis - last >= PREEMPTION_SETTLE_MILLIS;
    }

    /** Chooses tasks to stop so that as many waiting tasks of the resource as possible can be placed. */
    List<PreemptTasks> plan(DeclaredResource resource, List<WorkerView> views, long nowMillis) {
        lastPreemptionMillis.values().removeIf(last -> nowMillis - last >= PREEMPTION_SETTLE_MILLIS);
        long waitingTasks = resource.startableTasks(nowMillis).count();
        List<PreemptTasks> plans = new ArrayList<>();
        Set<WorkerView> usedViews = new HashSet<>();
        while (plans.size() < waitingTasks) {
            List<Task> fewestVictims = null;
            WorkerView fewestVictimsView = null;
            for (WorkerView view : views) {
                if (view.accepts() && !usedViews.contains(view)) {
                    List<Task> victims = victims(view, resource.taskSize());
                    if (!victims.isEmpty() && (fewestVictims == null || victims.size() < fewestVictims.size())) {
                        fewestVictims = victims;
                        fewestVictimsView = view;
                    }
                }
            }
            if (fewestVictims == null) {
                break;
            }
            usedViews.add(fewestVictimsView);
            plans.add(toMessage(fewestVictims));
        }
        if (!plans.isEmpty()) {
            lastPreemptionMillis.put(resource, nowMillis);
        }
        return plans;
    }

    /** Returns the tasks to stop on the worker so that the demand fits, or none if it can't be made to fit. */
    private static List<Task> victims(WorkerView view, Capacity demand) {
        List<Task> candidates = view.worker().tasks().stream()
                .filter(task -> task.owner().kind() == WorkKind.BATCH)
                .filter(task -> !task.owner().spec().getUrgent())
                .filter(task -> task.state() != TaskState.STOPPING)
                .sorted(Comparator.comparingLong(Task::epoch).reversed())
                .toList();
        Capacity freeCapacity = view.free();
        List<Task> victims = new ArrayList<>();
        for (Task candidate : candidates) {
            if (demand.fitsIn(freeCapacity)) {
                break;
            }
            victims.add(candidate);
            freeCapacity = freeCapacity.plus(candidate.owner().taskSize());
        }
        return demand.fitsIn(freeCapacity) ? victims : List.of();
    }

    private static PreemptTasks toMessage(List<Task> tasks) {
        return PreemptTasks.newBuilder()
                .addAllTasks(tasks.stream()
                        .map(task -> TaskReport.newBuilder()
                                .setTask(task.id())
                                .setEpoch(task.epoch())
                                .build())
                        .toList())
                .build();
    }
}
