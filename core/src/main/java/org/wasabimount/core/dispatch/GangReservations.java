package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongBiFunction;
import java.util.stream.Collectors;

import org.wasabimount.core.cell.Capacity;

/**
 * Reserves room for gangs, whose tasks all have to start together.
 *
 * <p>Designed for gangs of up to a hundred tasks, each a third of a worker, that may run on a fourth of the workers of a
 * pool without idle capacity. Without a reservation smaller tasks take each part of the room before the rest is free. A
 * reservation keeps its workers until the gang starts; a worker is exchanged only for one that has room earlier.
 */
final class GangReservations {

    private final Consumer<WorkerRoom> changed;
    private final ExaminedCounts examined;
    private final Map<WaitingStep, Map<WorkerRoom, Integer>> targets = new LinkedHashMap<>();
    private final Map<String, Double> reservedCpuMillis = new HashMap<>();

    /** The next task that could be given to a worker, when its room is estimated to be free and when it could start. */
    private record Offer(WorkerRoom room, int tasks, long fitsInMillis, long startsInMillis) {}

    /**
     * Creates an instance without reservations.
     *
     * @param changed receives each room after its reservations have changed
     * @param examined counts the items examined
     */
    GangReservations(Consumer<WorkerRoom> changed, ExaminedCounts examined) {
        this.changed = changed;
        this.examined = examined;
    }

    boolean contains(WaitingStep gang) {
        return targets.containsKey(gang);
    }

    /** Returns the number of tasks for each worker on which room is reserved for a gang. */
    Map<WorkerRoom, Integer> targets(WaitingStep gang) {
        return targets.getOrDefault(gang, Map.of());
    }

    /** Returns the processors that the gangs with a reservation in a pool need, in thousandths of a core. */
    double reservedCpuMillis(String pool) {
        return reservedCpuMillis.getOrDefault(pool, 0.0);
    }

    /** Returns the number of gangs with a reservation in a pool. */
    long count(String pool) {
        return targets.keySet().stream()
                .filter(gang -> gang.ready().queue().getPool().equals(pool))
                .count();
    }

    static double requiredCpuMillis(ReadyStep gang) {
        return (double) gang.size().cpuMillis() * gang.tasksAtOnce();
    }

    /**
     * Reserves room for those tasks of a gang that have none yet, where it is available earliest.
     *
     * @param gang the gang
     * @param candidates the workers that may run it
     * @param startsInMillis when a task could start on a worker that has room for it after a time in milliseconds
     * @param nowMillis the current monotonic time, in milliseconds
     * @return false if the workers can't hold the gang even when all their runs have ended; nothing is reserved then
     */
    boolean reserve(
            WaitingStep gang,
            Collection<WorkerRoom> candidates,
            ToLongBiFunction<WorkerRoom, Long> startsInMillis,
            long nowMillis) {
        Map<WorkerRoom, Integer> reserved = targets.getOrDefault(gang, new LinkedHashMap<>());
        int missing = gang.ready().tasksAtOnce()
                - reserved.values().stream().mapToInt(Integer::intValue).sum();
        Map<WorkerRoom, Integer> added = new LinkedHashMap<>();
        PriorityQueue<Offer> earliestFirst = new PriorityQueue<>(Comparator.comparingLong(Offer::startsInMillis)
                .thenComparingLong(Offer::fitsInMillis)
                .thenComparingInt(offer -> offer.room.number()));
        candidates.forEach(room ->
                offer(gang, room, reserved, added, startsInMillis, nowMillis).ifPresent(earliestFirst::add));
        for (int task = 0; task < missing; task++) {
            Offer earliest = earliestFirst.poll();
            if (earliest == null) {
                release(gang).forEach(changed);
                return false;
            }
            added.put(earliest.room, earliest.tasks);
            offer(gang, earliest.room, reserved, added, startsInMillis, nowMillis)
                    .ifPresent(earliestFirst::add);
        }
        if (!targets.containsKey(gang)) {
            targets.put(gang, reserved);
            addReservedCpuMillis(gang, requiredCpuMillis(gang.ready()));
        }
        added.forEach((room, tasks) -> {
            reserved.merge(room, tasks, Integer::sum);
            room.reserve(gang, reserved.get(room));
            changed.accept(room);
        });
        return true;
    }

    private Optional<Offer> offer(
            WaitingStep gang,
            WorkerRoom room,
            Map<WorkerRoom, Integer> reserved,
            Map<WorkerRoom, Integer> added,
            ToLongBiFunction<WorkerRoom, Long> startsInMillis,
            long nowMillis) {
        examined.add(ExaminedCounts.Part.ROUND, 1);
        int tasks = added.getOrDefault(room, 0) + 1;
        int tasksThere = reserved.getOrDefault(room, 0) + tasks;
        int limit = gang.ready().step().getMaxPerWorker();
        boolean possible = (limit == 0 || tasksThere <= limit)
                && gang.ready().size().times(tasksThere).fitsIn(room.worker().capacity());
        long fitsInMillis = possible ? room.millisUntilFits(gang, tasksThere, nowMillis) : Long.MAX_VALUE;
        return fitsInMillis == Long.MAX_VALUE
                ? Optional.empty()
                : Optional.of(new Offer(room, tasks, fitsInMillis, startsInMillis.applyAsLong(room, fitsInMillis)));
    }

    /** Returns the estimated time until all reserved room of a gang is free, in milliseconds. */
    long readyInMillis(WaitingStep gang, long nowMillis) {
        Map<WorkerRoom, Integer> reserved = targets(gang);
        examined.add(ExaminedCounts.Part.ROUND, reserved.size());
        return reserved.keySet().stream()
                .mapToLong(room -> room.millisUntilReserved(gang, nowMillis))
                .max()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Moves tasks of a gang to a worker that has free room now, from those on which it would wait longest.
     *
     * @param gang a gang with a reservation
     * @param room the worker, which must be allowed to run the gang
     * @param startsInMillis the time after which the gang could start there, in milliseconds
     * @param nowMillis the current monotonic time, in milliseconds
     * @return true if a task was moved
     */
    boolean improve(WaitingStep gang, WorkerRoom room, long startsInMillis, long nowMillis) {
        Map<WorkerRoom, Integer> reserved = targets.get(gang);
        Capacity size = gang.ready().size();
        int limit = gang.ready().step().getMaxPerWorker();
        long fits = limit == 0
                ? size.timesIn(room.free())
                : Math.min(limit - reserved.getOrDefault(room, 0), size.timesIn(room.free()));
        boolean shareable = !gang.ready().isolated() || room.idle();
        if (fits <= 0 || !shareable) {
            return false;
        }
        examined.add(ExaminedCounts.Part.ROUND, reserved.size());
        Map<WorkerRoom, Long> waits = reserved.keySet().stream()
                .filter(target -> target != room)
                .collect(Collectors.toMap(target -> target, target -> target.millisUntilReserved(gang, nowMillis)));
        List<WorkerRoom> latestFirst = waits.keySet().stream()
                .filter(target -> waits.get(target) > startsInMillis)
                .sorted(Comparator.<WorkerRoom>comparingLong(waits::get)
                        .reversed()
                        .thenComparingInt(WorkerRoom::number))
                .toList();
        boolean moved = false;
        for (WorkerRoom target : latestFirst) {
            int tasks = (int) Math.min(fits, reserved.get(target));
            if (tasks > 0) {
                move(gang, target, room, tasks);
                fits -= tasks;
                moved = true;
            }
        }
        return moved;
    }

    private void move(WaitingStep gang, WorkerRoom from, WorkerRoom to, int tasks) {
        Map<WorkerRoom, Integer> reserved = targets.get(gang);
        reserved.computeIfPresent(from, (room, held) -> held == tasks ? null : held - tasks);
        reserved.merge(to, tasks, Integer::sum);
        from.reserve(gang, reserved.getOrDefault(from, 0));
        to.reserve(gang, reserved.get(to));
        changed.accept(from);
        changed.accept(to);
    }

    /** Releases the room that is reserved for a gang on one worker. */
    void release(WaitingStep gang, WorkerRoom room) {
        Integer tasks = targets.getOrDefault(gang, new HashMap<>()).remove(room);
        if (tasks != null) {
            room.release(gang);
            changed.accept(room);
        }
    }

    /** Releases all room that is reserved for a gang; returns the rooms, which the caller has to update. */
    Set<WorkerRoom> release(WaitingStep gang) {
        Map<WorkerRoom, Integer> reserved = targets.remove(gang);
        if (reserved == null) {
            return Set.of();
        }
        reserved.keySet().forEach(room -> room.release(gang));
        addReservedCpuMillis(gang, -requiredCpuMillis(gang.ready()));
        return reserved.keySet();
    }

    private void addReservedCpuMillis(WaitingStep gang, double cpuMillis) {
        reservedCpuMillis.merge(gang.ready().queue().getPool(), cpuMillis, Double::sum);
    }

    /** Returns how many tasks of a gang have no reserved room. */
    int missingTasks(WaitingStep step) {
        return step.ready().tasksAtOnce()
                - targets(step).values().stream().mapToInt(Integer::intValue).sum();
    }
}
