package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.JobTask;

/**
 * Chooses workers for the tasks of one step that run independently of each other.
 *
 * <p>Designed for tasks that need from a small fraction to a third of a worker, where each step may use only some of the
 * workers. Tasks are placed by best fit, so that free capacity for larger tasks remains. The tasks of a step use as few
 * failure domains as possible: a job needs all its tasks, so the loss of any domain that it uses delays it.
 */
final class Placer {

    /** Slowdowns that differ by less than this are equal, so that they do not decide over best fit. */
    private static final double SLOWDOWN_STEP = 0.25;

    /** Number of the fullest workers compared where some are worse for a step; half of what a step compares. */
    private static final int MAX_FULLEST = 12;

    private final ExaminedCounts examined;
    private WorkerPreference preference = WorkerPreference.NONE;

    Placer(ExaminedCounts examined) {
        this.examined = examined;
    }

    /** Sets the preference among workers that fit. */
    void prefer(WorkerPreference newPreference) {
        preference = newPreference;
    }

    /**
     * Returns the rooms in which a task of a step fits, best fit first. Where some workers are worse for the step, the fullest
     * ones may all be, so the emptiest ones follow.
     */
    Stream<WorkerRoom> fitting(ReadyStep step, PoolRooms pool) {
        Stream<WorkerRoom> leastFreeFirst = pool.leastFreeFirst(step.size());
        return preference.distinguishes(step)
                ? Stream.concat(leastFreeFirst.limit(MAX_FULLEST), pool.mostFreeFirst(step.size()))
                : leastFreeFirst;
    }

    /**
     * Chooses workers for as many waiting tasks as fit.
     *
     * @param step the step
     * @param candidates the workers that may run it now
     * @param domains the failure domains in which tasks of the step are running; those of the chosen workers are added
     * @return the worker for each task that fits
     */
    Map<JobTask, WorkerRoom> choose(
            ReadyStep step, Collection<WorkerRoom> candidates, Set<String> domains, long nowMillis) {
        return choose(step, candidates, domains, room -> room.availableTo(step, nowMillis));
    }

    /**
     * Chooses workers as {@link #choose(ReadyStep, Collection, Set, long)}.
     *
     * @param step the step
     * @param candidates the workers that may run it now
     * @param domains the failure domains in which tasks of the step are running; those of the chosen workers are added
     * @param available the capacity of each worker that the step may use
     * @return the worker for each task that fits
     */
    Map<JobTask, WorkerRoom> choose(
            ReadyStep step,
            Collection<WorkerRoom> candidates,
            Set<String> domains,
            Function<WorkerRoom, Capacity> available) {
        Capacity size = step.size();
        Map<JobTask, WorkerRoom> chosen = new LinkedHashMap<>();
        Map<WorkerRoom, Integer> counts = runCounts(step, candidates);
        Map<WorkerRoom, Capacity> free = new HashMap<>();
        Map<WorkerRoom, Long> slowdowns = new HashMap<>();
        candidates.forEach(room -> {
            free.put(room, available.apply(room));
            slowdowns.put(room, Math.round(preference.slowdown(step, room.worker()) / SLOWDOWN_STEP));
        });
        // Long-running tasks serve independently and are better spread over failure domains, so they are not grouped.
        boolean placeTogether = !step.step().getLongRunning();
        Comparator<WorkerRoom> bestFit = Comparator.<WorkerRoom, Boolean>comparing(
                        room -> !nearData(step, room.worker()))
                .thenComparing(room -> !size.fitsIn(room.free()))
                .thenComparing(room -> room.worker().hasSuspects())
                .thenComparingLong(slowdowns::get)
                .thenComparing(room -> placeTogether
                        && !domains.isEmpty()
                        && !domains.contains(room.worker().domain()))
                .thenComparingDouble(
                        room -> free.get(room).dominantShare(room.worker().capacity()))
                .thenComparingInt(WorkerRoom::number);
        String job = step.id().job();
        // Suspects of one job share a worker, so that no more than one crashes, and keep away from those of other jobs.
        Comparator<WorkerRoom> bestForSuspect = Comparator.<WorkerRoom, Boolean>comparing(
                        room -> !room.worker().hasSuspectsOf(job))
                .thenComparing(room -> room.worker().hasSuspects())
                .thenComparing(bestFit);
        for (JobTask task : step.waiting()) {
            Comparator<WorkerRoom> order = task.suspicions() > 0 ? bestForSuspect : bestFit;
            examined.add(ExaminedCounts.Part.ROUND, candidates.size());
            WorkerRoom best = null;
            for (WorkerRoom room : candidates) {
                boolean possible = size.fitsIn(free.get(room)) && belowLimit(step, counts, room);
                if (possible && (best == null || order.compare(room, best) < 0)) {
                    best = room;
                }
            }
            if (best == null) {
                break;
            }
            free.put(best, free.get(best).minus(size));
            counts.merge(best, 1, Integer::sum);
            domains.add(best.worker().domain());
            chosen.put(task, best);
        }
        return chosen;
    }

    private static Map<WorkerRoom, Integer> runCounts(ReadyStep step, Collection<WorkerRoom> candidates) {
        Map<WorkerRoom, Integer> counts = new HashMap<>();
        if (step.step().getMaxPerWorker() > 0) {
            candidates.forEach(room -> counts.put(room, (int) room.worker().runs().stream()
                    .filter(run -> run.id().task().stepId().equals(step.id()))
                    .count()));
        }
        return counts;
    }

    private static boolean belowLimit(ReadyStep step, Map<WorkerRoom, Integer> counts, WorkerRoom room) {
        int limit = step.step().getMaxPerWorker();
        return limit == 0 || counts.getOrDefault(room, 0) < limit;
    }

    /** Returns whether a worker is where the step's data is, or the step has no such preference. */
    static boolean nearData(ReadyStep step, TrackedWorker trackedWorker) {
        String rack = step.step().getDataRack();
        return rack.isEmpty() || trackedWorker.rack().equals(rack);
    }
}
