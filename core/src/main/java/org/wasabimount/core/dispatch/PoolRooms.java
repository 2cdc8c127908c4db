package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;

/**
 * The rooms of the usable workers of one pool, indexed by their free processors.
 *
 * <p>Designed for pools of hundreds of workers of which few have room: a search examines only workers that have at least
 * the processors it asks for.
 */
final class PoolRooms {

    private final NavigableMap<Integer, WorkerRoom> byNumber = new TreeMap<>();
    private final NavigableMap<Long, NavigableSet<WorkerRoom>> byFreeCpu = new TreeMap<>();
    private final Map<String, Set<WorkerRoom>> byRack = new HashMap<>();
    private final Map<WorkerRoom, Entry> entries = new HashMap<>();
    private final NavigableSet<WaitingStep> stepsWithoutAdvice;
    private long cpuMillis;
    private long freeCpuMillis;

    /** What a room was indexed by. */
    private record Entry(long freeCpuMillis, long cpuMillis, String rack) {}

    PoolRooms(Comparator<WaitingStep> order) {
        this.stepsWithoutAdvice = new TreeSet<>(order);
    }

    /** Returns the waiting steps that need no advice, in scheduling order. */
    NavigableSet<WaitingStep> stepsWithoutAdvice() {
        return stepsWithoutAdvice;
    }

    /** Returns the usable rooms in the order of their numbers. */
    Collection<WorkerRoom> usable() {
        return byNumber.values();
    }

    /** Returns the processors of the usable workers, in thousandths of a core. */
    long cpuMillis() {
        return cpuMillis;
    }

    /** Returns the processors that are neither used nor reserved, in thousandths of a core. */
    long freeCpuMillis() {
        return freeCpuMillis;
    }

    /** Puts a room in its place after a change; an unusable room is removed. */
    void update(WorkerRoom room) {
        Entry entry = new Entry(
                room.free().cpuMillis(),
                room.worker().capacity().cpuMillis(),
                room.worker().rack());
        if (room.usable() && entry.equals(entries.get(room))) {
            return;
        }
        remove(room);
        if (room.usable()) {
            entries.put(room, entry);
            byNumber.put(room.number(), room);
            byFreeCpu
                    .computeIfAbsent(
                            entry.freeCpuMillis, absent -> new TreeSet<>(Comparator.comparingInt(WorkerRoom::number)))
                    .add(room);
            byRack.computeIfAbsent(entry.rack, absent -> new LinkedHashSet<>()).add(room);
            cpuMillis += entry.cpuMillis;
            freeCpuMillis += Math.max(0, entry.freeCpuMillis);
        }
    }

    /** Removes a room that no longer belongs to the pool. */
    void remove(WorkerRoom room) {
        Entry entry = entries.remove(room);
        if (entry == null) {
            return;
        }
        byNumber.remove(room.number());
        byRack.get(entry.rack).remove(room);
        cpuMillis -= entry.cpuMillis;
        freeCpuMillis -= Math.max(0, entry.freeCpuMillis);
        NavigableSet<WorkerRoom> rooms = byFreeCpu.get(entry.freeCpuMillis);
        rooms.remove(room);
        if (rooms.isEmpty()) {
            byFreeCpu.remove(entry.freeCpuMillis);
        }
    }

    /** Returns the usable rooms of a rack. */
    Stream<WorkerRoom> onRack(String rack) {
        return byRack.getOrDefault(rack, Set.of()).stream();
    }

    /** Returns the rooms in which a size fits, least free processors first. */
    Stream<WorkerRoom> leastFreeFirst(Capacity size) {
        return byFreeCpu.tailMap(size.cpuMillis(), true).values().stream()
                .flatMap(Set::stream)
                .filter(room -> size.fitsIn(room.free()));
    }

    /** Returns the rooms in which a size fits, most free processors first. */
    Stream<WorkerRoom> mostFreeFirst(Capacity size) {
        return byFreeCpu.tailMap(size.cpuMillis(), true).descendingMap().values().stream()
                .flatMap(Set::stream)
                .filter(room -> size.fitsIn(room.free()));
    }

    /** Returns all usable rooms in turn, beginning behind a room number. */
    Stream<WorkerRoom> inTurn(int afterNumber) {
        return Stream.concat(
                byNumber.tailMap(afterNumber, false).values().stream(),
                byNumber.headMap(afterNumber, true).values().stream());
    }
}
