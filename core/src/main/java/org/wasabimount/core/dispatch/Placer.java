package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;

/**
 * Chooses workers for the tasks of one step.
 *
 * <p>Designed for tasks that need from a small fraction to a third of a worker, some of them in gangs, where each step
 * may use only some of the workers. Single tasks are placed by best fit, so that free capacity for larger tasks
 * remains; gangs are placed on the workers with the most free capacity. The tasks of a step use as few failure domains
 * as possible: a job needs all its tasks, so the loss of any domain that it uses delays it.
 */
final class Placer {

    private final ExaminedCounts examined;
    private final Map<TrackedWorker, Capacity> freeCapacities = new LinkedHashMap<>();

    Placer(List<TrackedWorker> usableWorkers, ExaminedCounts examined) {
        this.examined = examined;
        usableWorkers.forEach(trackedWorker -> freeCapacities.put(trackedWorker, trackedWorker.freeCapacity()));
    }

    /** Returns the free capacity of a worker after the placements and reservations of this round. */
    Capacity freeCapacity(TrackedWorker trackedWorker) {
        return freeCapacities.getOrDefault(trackedWorker, Capacity.NONE);
    }

    /**
     * Allocates capacity on a worker to a task or a gang's reservation; reservations may make the free capacity
     * negative.
     */
    void allocate(TrackedWorker trackedWorker, Capacity size) {
        freeCapacities.computeIfPresent(trackedWorker, (key, freeCapacity) -> freeCapacity.minus(size));
    }

    /** Chooses workers for as many tasks as fit; for a gang, for all of its tasks or none. */
    Map<JobTask, TrackedWorker> choose(ReadyStep step, Predicate<TrackedWorker> allowed) {
        examined.add(ExaminedCounts.Part.ROUND, freeCapacities.size());
        List<TrackedWorker> candidates = freeCapacities.keySet().stream()
                .filter(allowed)
                .filter(trackedWorker -> step.size().fitsIn(freeCapacity(trackedWorker)))
                .toList();
        if (candidates.isEmpty()) {
            return Map.of();
        }
        return step.gang() ? placeTogether(step, candidates) : placeIndividually(step, candidates);
    }

    private Map<JobTask, TrackedWorker> placeIndividually(ReadyStep step, List<TrackedWorker> candidates) {
        Map<JobTask, TrackedWorker> chosen = new LinkedHashMap<>();
        Map<TrackedWorker, Integer> counts = runCounts(step);
        Set<String> domains = domainsInUse(step);
        // Long-running tasks serve independently and are better spread over failure domains, so they are not grouped.
        boolean placeTogether = !step.step().getLongRunning();
        Comparator<TrackedWorker> bestFit = Comparator.<TrackedWorker, Boolean>comparing(
                        trackedWorker -> !nearData(step, trackedWorker))
                .thenComparing(trackedWorker ->
                        placeTogether && !domains.isEmpty() && !domains.contains(trackedWorker.domain()))
                .thenComparingDouble(trackedWorker -> freeShare(trackedWorker));
        for (JobTask task : step.waiting()) {
            examined.add(ExaminedCounts.Part.ROUND, candidates.size());
            Optional<TrackedWorker> best = candidates.stream()
                    .filter(trackedWorker ->
                            step.size().fitsIn(freeCapacity(trackedWorker)) && belowLimit(step, counts, trackedWorker))
                    .min(bestFit);
            if (best.isEmpty()) {
                break;
            }
            allocate(best.get(), step.size());
            counts.merge(best.get(), 1, Integer::sum);
            domains.add(best.get().domain());
            chosen.put(task, best.get());
        }
        return chosen;
    }

    /** Returns the failure domains in which tasks of the step are running. */
    private Set<String> domainsInUse(ReadyStep step) {
        Set<IncarnationId> incarnations = step
                .job()
                .tasks(step.id().occurrence(), step.id().step())
                .stream()
                .flatMap(task -> task.incarnation().stream())
                .collect(Collectors.toSet());
        return freeCapacities.keySet().stream()
                .filter(trackedWorker ->
                        incarnations.contains(trackedWorker.entry().id()))
                .map(TrackedWorker::domain)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Map<JobTask, TrackedWorker> placeTogether(ReadyStep step, List<TrackedWorker> candidates) {
        if (step.step().getColocated()) {
            Optional<Map<JobTask, TrackedWorker>> onOneRack =
                    candidates.stream().collect(Collectors.groupingBy(TrackedWorker::rack)).values().stream()
                            .map(rack -> placeAll(step, rack))
                            .filter(chosen -> !chosen.isEmpty())
                            .findFirst();
            if (onOneRack.isPresent()) {
                onOneRack.get().values().forEach(trackedWorker -> allocate(trackedWorker, step.size()));
                return onOneRack.get();
            }
        }
        Map<JobTask, TrackedWorker> chosen = placeAll(step, candidates);
        chosen.values().forEach(trackedWorker -> allocate(trackedWorker, step.size()));
        return chosen;
    }

    private Map<JobTask, TrackedWorker> placeAll(ReadyStep step, List<TrackedWorker> candidates) {
        Map<TrackedWorker, Integer> counts = runCounts(step);
        List<TrackedWorker> mostFreeFirst = new ArrayList<>(candidates);
        mostFreeFirst.sort(Comparator.<TrackedWorker, Boolean>comparing(trackedWorker -> !nearData(step, trackedWorker))
                .thenComparing(Comparator.comparingDouble(this::freeShare).reversed()));
        Map<JobTask, TrackedWorker> chosen = new LinkedHashMap<>();
        int nextTask = 0;
        for (TrackedWorker trackedWorker : mostFreeFirst) {
            long fits = step.size().timesIn(freeCapacity(trackedWorker));
            while (fits > 0 && nextTask < step.waiting().size() && belowLimit(step, counts, trackedWorker)) {
                chosen.put(step.waiting().get(nextTask++), trackedWorker);
                counts.merge(trackedWorker, 1, Integer::sum);
                fits--;
            }
        }
        return nextTask == step.waiting().size() ? chosen : Map.of();
    }

    /** Chooses the workers on which capacity is reserved for a gang: those where it is available earliest. */
    List<TrackedWorker> reserve(ReadyStep step, Predicate<TrackedWorker> allowed, long nowMillis) {
        Map<TrackedWorker, Integer> counts = runCounts(step);
        Map<TrackedWorker, Integer> targetCounts = new HashMap<>();
        List<TrackedWorker> candidates = freeCapacities.keySet().stream()
                .filter(allowed)
                .filter(trackedWorker ->
                        step.size().fitsIn(trackedWorker.entry().capacity()))
                .toList();
        List<TrackedWorker> targets = new ArrayList<>();
        for (int task = 0; task < step.waiting().size(); task++) {
            examined.add(ExaminedCounts.Part.ROUND, candidates.size());
            Optional<TrackedWorker> earliestWorker = candidates.stream()
                    .filter(trackedWorker -> belowLimit(step, counts, trackedWorker))
                    .filter(trackedWorker -> step.size()
                            .times(targetCounts.getOrDefault(trackedWorker, 0) + 1L)
                            .fitsIn(trackedWorker.entry().capacity()))
                    .min(Comparator.comparingLong(trackedWorker -> earliestFitMillis(
                            trackedWorker,
                            step.size().times(targetCounts.getOrDefault(trackedWorker, 0) + 1L),
                            nowMillis)));
            if (earliestWorker.isEmpty()) {
                return List.of();
            }
            targetCounts.merge(earliestWorker.get(), 1, Integer::sum);
            counts.merge(earliestWorker.get(), 1, Integer::sum);
            targets.add(earliestWorker.get());
        }
        return targets;
    }

    /**
     * Returns the estimated time until a size fits on a worker beside the allocations of this round, in milliseconds.
     */
    long earliestFitMillis(TrackedWorker trackedWorker, Capacity size, long nowMillis) {
        examined.add(ExaminedCounts.Part.ROUND, trackedWorker.runs().size());
        Capacity taken = trackedWorker.freeCapacity().minus(freeCapacity(trackedWorker));
        return trackedWorker.millisUntilFits(size.plus(taken), nowMillis);
    }

    private Map<TrackedWorker, Integer> runCounts(ReadyStep step) {
        Map<TrackedWorker, Integer> counts = new HashMap<>();
        if (step.step().getMaxPerWorker() > 0) {
            freeCapacities
                    .keySet()
                    .forEach(trackedWorker -> counts.put(trackedWorker, (int) trackedWorker.runs().stream()
                            .filter(run -> run.id().task().stepId().equals(step.id()))
                            .count()));
        }
        return counts;
    }

    private static boolean belowLimit(ReadyStep step, Map<TrackedWorker, Integer> counts, TrackedWorker trackedWorker) {
        int limit = step.step().getMaxPerWorker();
        return limit == 0 || counts.getOrDefault(trackedWorker, 0) < limit;
    }

    /** Returns whether a worker is where the step's data is, or the step has no such preference. */
    static boolean nearData(ReadyStep step, TrackedWorker trackedWorker) {
        String rack = step.step().getDataRack();
        return rack.isEmpty() || trackedWorker.rack().equals(rack);
    }

    private double freeShare(TrackedWorker trackedWorker) {
        return freeCapacity(trackedWorker).dominantShare(trackedWorker.entry().capacity());
    }
}
