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
 * Makes room for urgent work that fits nowhere, by stopping batch tasks.
 *
 * <p>It takes the worker where the fewest tasks must go, and of its tasks the ones that started last, so that the least
 * work is lost.
 */
final class Preemption {

    /** How long room that was made may take to become free before more is made for the same work. */
    private static final long SETTLE_MILLIS = 1_000;

    private final Map<DeclaredResource, Long> lastMillis = new HashMap<>();

    /** Tells whether room may be made for a resource now. */
    boolean due(DeclaredResource resource, long nowMillis) {
        Long last = lastMillis.get(resource);
        return last == null || nowMillis - last >= SETTLE_MILLIS;
    }

    /** Chooses tasks to stop, for as many waiting tasks of the resource as possible. */
    List<PreemptTasks> plan(DeclaredResource resource, List<WorkerView> views, long nowMillis) {
        lastMillis.values().removeIf(last -> nowMillis - last >= SETTLE_MILLIS);
        long wanted = resource.startableTasks(nowMillis).count();
        List<PreemptTasks> plans = new ArrayList<>();
        Set<WorkerView> used = new HashSet<>();
        while (plans.size() < wanted) {
            List<Task> best = null;
            WorkerView bestView = null;
            for (WorkerView view : views) {
                if (view.accepts() && !used.contains(view)) {
                    List<Task> victims = victims(view, resource.taskSize());
                    if (!victims.isEmpty() && (best == null || victims.size() < best.size())) {
                        best = victims;
                        bestView = view;
                    }
                }
            }
            if (best == null) {
                break;
            }
            used.add(bestView);
            plans.add(message(best));
        }
        if (!plans.isEmpty()) {
            lastMillis.put(resource, nowMillis);
        }
        return plans;
    }

    private static List<Task> victims(WorkerView view, Capacity demand) {
        List<Task> candidates = view.worker().tasks().stream()
                .filter(task -> task.owner().kind() == WorkKind.BATCH)
                .filter(task -> !task.owner().spec().getUrgent())
                .filter(task -> task.state() != TaskState.STOPPING)
                .sorted(Comparator.comparingLong(Task::epoch).reversed())
                .toList();
        Capacity room = view.free();
        List<Task> victims = new ArrayList<>();
        for (Task candidate : candidates) {
            if (demand.fitsIn(room)) {
                break;
            }
            victims.add(candidate);
            room = room.plus(candidate.owner().taskSize());
        }
        return demand.fitsIn(room) ? victims : List.of();
    }

    private static PreemptTasks message(List<Task> tasks) {
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
