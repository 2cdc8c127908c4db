package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;

/**
 * Chooses workers of one pool for the tasks of one step.
 *
 * <p>Designed for tasks that need from a small fraction to a third of a worker, some of them in gangs, where each step
 * may use only some of the workers. Single tasks are placed by best fit, so that free capacity for larger tasks
 * remains; gangs are placed on the workers with the most free capacity. The tasks of a step use as few failure domains
 * as possible: a job needs all its tasks, so the loss of any domain that it uses delays it.
 */
final class Placer {

    private final ExaminedCounts examined;
    private final List<WorkerRoom> rooms;
    private final Map<IncarnationId, WorkerRoom> roomsById = new HashMap<>();

    /** At least the free capacity of every worker in each dimension. */
    private Capacity largestFree = Capacity.NONE;

    Placer(List<TrackedWorker> usableWorkers, ExaminedCounts examined) {
        this.examined = examined;
        this.rooms = IntStream.range(0, usableWorkers.size())
                .mapToObj(number -> new WorkerRoom(usableWorkers.get(number), number))
                .toList();
        updateLargestFree();
    }

    /** Returns the room on each usable worker of the pool. */
    List<WorkerRoom> rooms() {
        return rooms;
    }

    /** Returns the room on those of the given workers that are usable and belong to the pool. */
    Stream<WorkerRoom> roomsOn(Collection<IncarnationId> incarnations) {
        if (roomsById.isEmpty()) {
            rooms.forEach(room -> roomsById.put(room.id(), room));
        }
        return incarnations.stream().map(roomsById::get).filter(Objects::nonNull);
    }

    /** Returns false if a size certainly fits on no worker. */
    boolean mayFit(Capacity size) {
        return size.fitsIn(largestFree);
    }

    private void updateLargestFree() {
        examined.add(ExaminedCounts.Part.ROUND, rooms.size());
        long cpuMillis = 0;
        long memoryMegabytes = 0;
        long accelerators = 0;
        for (WorkerRoom room : rooms) {
            cpuMillis = Math.max(cpuMillis, room.free().cpuMillis());
            memoryMegabytes = Math.max(memoryMegabytes, room.free().memoryMegabytes());
            accelerators = Math.max(accelerators, room.free().accelerators());
        }
        largestFree = new Capacity(cpuMillis, memoryMegabytes, accelerators);
    }

    /** Chooses workers for as many tasks as fit; for a gang, for all of its tasks or none. */
    Map<JobTask, WorkerRoom> choose(ReadyStep step, Predicate<WorkerRoom> allowed) {
        Capacity size = step.size();
        if (!mayFit(size)) {
            return Map.of();
        }
        examined.add(ExaminedCounts.Part.ROUND, rooms.size());
        List<WorkerRoom> fitting =
                rooms.stream().filter(room -> size.fitsIn(room.free())).toList();
        if (fitting.isEmpty()) {
            updateLargestFree();
            return Map.of();
        }
        List<WorkerRoom> candidates = fitting.stream().filter(allowed).toList();
        if (candidates.isEmpty()) {
            return Map.of();
        }
        return step.gang() ? placeTogether(step, candidates) : placeIndividually(step, candidates);
    }

    private Map<JobTask, WorkerRoom> placeIndividually(ReadyStep step, List<WorkerRoom> candidates) {
        Capacity size = step.size();
        Map<JobTask, WorkerRoom> chosen = new LinkedHashMap<>();
        Map<WorkerRoom, Integer> counts = runCounts(step, candidates);
        Set<String> domains = domainsInUse(step);
        // Long-running tasks serve independently and are better spread over failure domains, so they are not grouped.
        boolean placeTogether = !step.step().getLongRunning();
        Comparator<WorkerRoom> bestFit = Comparator.<WorkerRoom, Boolean>comparing(
                        room -> !nearData(step, room.worker()))
                .thenComparing(room -> placeTogether
                        && !domains.isEmpty()
                        && !domains.contains(room.worker().domain()))
                .thenComparingDouble(WorkerRoom::freeShare);
        for (JobTask task : step.waiting()) {
            examined.add(ExaminedCounts.Part.ROUND, candidates.size());
            WorkerRoom best = null;
            for (WorkerRoom room : candidates) {
                boolean possible = size.fitsIn(room.free()) && belowLimit(step, counts, room);
                if (possible && (best == null || bestFit.compare(room, best) < 0)) {
                    best = room;
                }
            }
            if (best == null) {
                break;
            }
            best.allocate(size);
            counts.merge(best, 1, Integer::sum);
            domains.add(best.worker().domain());
            chosen.put(task, best);
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
        if (incarnations.isEmpty()) {
            return new HashSet<>();
        }
        return rooms.stream()
                .map(WorkerRoom::worker)
                .filter(trackedWorker ->
                        incarnations.contains(trackedWorker.entry().id()))
                .map(TrackedWorker::domain)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Map<JobTask, WorkerRoom> placeTogether(ReadyStep step, List<WorkerRoom> candidates) {
        Map<JobTask, WorkerRoom> chosen = Map.of();
        if (step.step().getColocated()) {
            chosen = candidates.stream()
                    .collect(Collectors.groupingBy(room -> room.worker().rack()))
                    .values()
                    .stream()
                    .map(rack -> placeAll(step, rack))
                    .filter(onRack -> !onRack.isEmpty())
                    .findFirst()
                    .orElse(chosen);
        }
        if (chosen.isEmpty()) {
            chosen = placeAll(step, candidates);
        }
        chosen.values().forEach(room -> room.allocate(step.size()));
        return chosen;
    }

    private Map<JobTask, WorkerRoom> placeAll(ReadyStep step, List<WorkerRoom> candidates) {
        Capacity size = step.size();
        int tasks = step.waiting().size();
        long fitting = 0;
        for (WorkerRoom room : candidates) {
            fitting += Math.min(tasks, size.timesIn(room.free()));
        }
        if (fitting < tasks) {
            return Map.of();
        }
        examined.add(ExaminedCounts.Part.ROUND, candidates.size());
        Map<WorkerRoom, Integer> counts = runCounts(step, candidates);
        List<WorkerRoom> mostFreeFirst = new ArrayList<>(candidates);
        mostFreeFirst.sort(Comparator.<WorkerRoom, Boolean>comparing(room -> !nearData(step, room.worker()))
                .thenComparing(Comparator.comparingDouble(WorkerRoom::freeShare).reversed()));
        Map<JobTask, WorkerRoom> chosen = new LinkedHashMap<>();
        int nextTask = 0;
        for (WorkerRoom room : mostFreeFirst) {
            long fits = size.timesIn(room.free());
            while (fits > 0 && nextTask < tasks && belowLimit(step, counts, room)) {
                chosen.put(step.waiting().get(nextTask++), room);
                counts.merge(room, 1, Integer::sum);
                fits--;
            }
        }
        return nextTask == tasks ? chosen : Map.of();
    }

    /** The next task that could be given to a worker, and when it is estimated to fit. */
    private record Offer(WorkerRoom room, int tasks, long fitsInMillis) {}

    /**
     * Chooses the workers on which capacity is reserved for a gang: those where it is available earliest.
     *
     * @param candidates the workers that may run the step
     * @return the number of tasks for each worker, empty if the gang can't be placed even when all runs have ended
     */
    Map<WorkerRoom, Integer> reserve(ReadyStep step, List<WorkerRoom> candidates, long nowMillis) {
        Map<WorkerRoom, Integer> counts = runCounts(step, candidates);
        PriorityQueue<Offer> earliestFirst = new PriorityQueue<>(
                Comparator.comparingLong(Offer::fitsInMillis).thenComparingInt(offer -> offer.room.number()));
        for (WorkerRoom room : candidates) {
            offer(step, room, 1, counts, nowMillis).ifPresent(earliestFirst::add);
        }
        Map<WorkerRoom, Integer> targets = new LinkedHashMap<>();
        for (int task = 0; task < step.waiting().size(); task++) {
            Offer earliest = earliestFirst.poll();
            if (earliest == null) {
                return Map.of();
            }
            targets.put(earliest.room, earliest.tasks);
            counts.merge(earliest.room, 1, Integer::sum);
            offer(step, earliest.room, earliest.tasks + 1, counts, nowMillis).ifPresent(earliestFirst::add);
        }
        return targets;
    }

    private Optional<Offer> offer(
            ReadyStep step, WorkerRoom room, int tasks, Map<WorkerRoom, Integer> counts, long nowMillis) {
        Capacity size = step.size().times(tasks);
        if (!belowLimit(step, counts, room)
                || !size.fitsIn(room.worker().entry().capacity())) {
            return Optional.empty();
        }
        examined.add(ExaminedCounts.Part.ROUND, 1);
        long fitsInMillis = room.millisUntilFits(size, nowMillis);
        return fitsInMillis == Long.MAX_VALUE ? Optional.empty() : Optional.of(new Offer(room, tasks, fitsInMillis));
    }

    private Map<WorkerRoom, Integer> runCounts(ReadyStep step, List<WorkerRoom> candidates) {
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
