package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Map;

import org.wasabimount.core.job.CrashLimit;
import org.wasabimount.core.job.IncarnationId;

/**
 * Decides when tasks get workers of their own, and how long they wait for them.
 *
 * <p>Designed for tasks under which workers have crashed: they must not run beside others, nor take the workers from them.
 */
final class IsolationLimits {

    /** Share of a pool's workers that may be set aside for tasks that run alone. */
    private static final double MAX_ISOLATED_SHARE = 0.125;

    /** As {@link #MAX_ISOLATED_SHARE}, for workers that are idle and for the only step whose tasks run alone. */
    private static final double MAX_ISOLATED_IDLE_SHARE = 0.5;

    /**
     * How long tasks wait for a worker of their own before they share one, in milliseconds: about as long as most tasks
     * take, so that one worker has become free unless many wait for it.
     */
    private static final long PATIENCE_MILLIS = 2_000;

    /**
     * As {@link #PATIENCE_MILLIS}, for tasks whose starts are limited: several such tasks one after the other. If no worker
     * can be emptied, as every one has a run that lasts, the task must not wait for ever.
     */
    private static final long LIMITED_PATIENCE_MILLIS = 10_000;

    private final Map<IncarnationId, WorkerRoom> rooms;
    private final ExaminedCounts examined;

    /**
     * Creates an instance.
     *
     * @param rooms the rooms of all known workers, also of those that are not usable
     * @param examined counts the items examined
     */
    IsolationLimits(Map<IncarnationId, WorkerRoom> rooms, ExaminedCounts examined) {
        this.rooms = rooms;
        this.examined = examined;
    }

    /** Returns whether enough workers of the pool remain for others if tasks get workers of their own. */
    boolean allowed(ReadyStep step, PoolRooms pool) {
        Collection<WorkerRoom> usable = pool.usable();
        examined.add(ExaminedCounts.Part.ROUND, usable.size());
        long isolated = usable.stream().filter(WorkerRoom::isolated).count();
        long idle = usable.stream().filter(WorkerRoom::idle).count();
        long required = workersRequired(step, pool);
        boolean first = isolated == 0;
        double share = first || idle >= required ? MAX_ISOLATED_IDLE_SHARE : MAX_ISOLATED_SHARE;
        return first && required == 1 || isolated + required <= share * usable.size();
    }

    /** Returns how long a step's tasks wait for workers of their own: long if their starts are limited. */
    long patienceMillis(ReadyStep step, PoolRooms pool) {
        boolean limited = step.waiting().stream().anyMatch(CrashLimit::startsLimited);
        boolean tooWide = workersRequired(step, pool) > MAX_ISOLATED_IDLE_SHARE * knownWorkers(step);
        return limited && !tooWide ? LIMITED_PATIENCE_MILLIS : PATIENCE_MILLIS;
    }

    /** Returns the number of workers of a step's pool, whether they are usable or not. */
    private long knownWorkers(ReadyStep step) {
        String pool = step.queue().getPool();
        return rooms.values().stream().filter(room -> room.pool().equals(pool)).count();
    }

    /** Returns how many workers the tasks of a step need to run alone. */
    private static long workersRequired(ReadyStep step, PoolRooms pool) {
        long slots = pool.usable().stream()
                .mapToLong(room -> room.slots(step.size()))
                .max()
                .orElse(0);
        return (long) Math.ceil((double) step.tasksAtOnce() / Math.max(1, slots));
    }
}
