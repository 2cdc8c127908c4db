package org.wasabimount.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;

/** The room on one worker: its free capacity, the reservations of gangs, and the steps that may use it. */
final class WorkerRoom {

    private final TrackedWorker worker;
    private final int number;
    private final NavigableSet<WaitingStep> eligibleSteps;

    /** The capacity reserved for each gang, earliest reservation first. */
    private final Map<WaitingStep, Capacity> reservations = new LinkedHashMap<>();

    private Capacity reserved = Capacity.NONE;
    private Capacity free = Capacity.NONE;
    private boolean usable;

    /**
     * Creates the room of a worker that is not usable yet.
     *
     * @param worker the worker
     * @param number the room's place among all rooms, which orders rooms that are equal otherwise
     * @param order the order of the steps that may use the room
     */
    WorkerRoom(TrackedWorker worker, int number, Comparator<WaitingStep> order) {
        this.worker = worker;
        this.number = number;
        this.eligibleSteps = new TreeSet<>(order);
    }

    TrackedWorker worker() {
        return worker;
    }

    int number() {
        return number;
    }

    IncarnationId id() {
        return worker.entry().id();
    }

    String pool() {
        return worker.entry().incarnation().getPool();
    }

    /** Returns the waiting steps that advice allows here, in scheduling order. */
    NavigableSet<WaitingStep> eligibleSteps() {
        return eligibleSteps;
    }

    boolean usable() {
        return usable;
    }

    /** Returns the free capacity that is not reserved; reservations may make it negative. Nothing if unusable. */
    Capacity free() {
        return free;
    }

    /** Returns the capacity that a step may use: urgent tasks may also use what is reserved for gangs. */
    Capacity availableTo(ReadyStep step, long nowMillis) {
        return usable && step.mayUseReservedRoom(nowMillis) && !isolated() ? worker.freeCapacity() : free;
    }

    /**
     * Returns the capacity that a step which reserves room may use now: what is free, and what is reserved for the step. Later
     * reservations do not count against an earlier one: they may wait for runs that it does not wait for. Tasks that run alone
     * may use a worker only if nothing else runs there or is reserved.
     */
    Capacity freeFor(WaitingStep step) {
        boolean holds = reservations.containsKey(step);
        if (!usable || worker.isolated()) {
            return Capacity.NONE;
        }
        if (step.ready().isolated()) {
            boolean alone = worker.runs().isEmpty() && reservations.size() == (holds ? 1 : 0);
            return alone ? worker.freeCapacity() : Capacity.NONE;
        }
        return holds ? worker.freeCapacity().minus(reservedUpTo(step)).plus(reservations.get(step)) : free;
    }

    /** Returns how many tasks of a step that reserves room could start now. */
    long freeSlots(WaitingStep step) {
        long slots = step.ready().size().timesIn(freeFor(step));
        int limit = step.ready().step().getMaxPerWorker();
        return limit == 0 ? slots : Math.min(limit, slots);
    }

    /** Takes over the worker's state. */
    void refresh(long nowMillis) {
        usable = worker.usable(nowMillis);
        free = usable && !worker.isolated() ? worker.freeCapacity().minus(reserved) : Capacity.NONE;
    }

    /** Makes the room of a worker that has ended unusable for good. */
    void close() {
        usable = false;
        free = Capacity.NONE;
    }

    /** Returns whether the worker runs tasks that run alone, or is kept free for them. */
    boolean isolated() {
        return worker.isolated()
                || reservations.keySet().stream().anyMatch(step -> step.ready().isolated());
    }

    /** Returns whether the worker can hold all that is reserved once its runs have ended; it may have shrunk since. */
    boolean reservationsFit() {
        return reserved.fitsIn(worker.capacity());
    }

    /** Returns whether nothing runs here and nothing is reserved. */
    boolean idle() {
        return worker.runs().isEmpty() && reservations.isEmpty();
    }

    /** Returns the capacity that a number of tasks takes here: all of it for tasks that run alone. */
    private Capacity required(ReadyStep step, int tasks) {
        return step.isolated() ? worker.capacity() : step.size().times(tasks);
    }

    /** Reserves room for a number of tasks, in place of what is reserved for their step. */
    void reserve(WaitingStep step, int tasks) {
        release(step);
        if (tasks > 0) {
            Capacity required = required(step.ready(), tasks);
            reservations.put(step, required);
            reserved = reserved.plus(required);
        }
    }

    /** Releases what is reserved for a step. */
    void release(WaitingStep step) {
        Capacity held = reservations.remove(step);
        if (held != null) {
            reserved = reserved.minus(held);
        }
    }

    /** Returns the gangs with reservations, earliest first. */
    List<WaitingStep> reservingGangs() {
        return List.copyOf(reservations.keySet());
    }

    /** Returns the free share of the worker's capacity. */
    double freeShare() {
        return free.dominantShare(worker.capacity());
    }

    /** Returns how many tasks of a size the worker can run at once when all runs have ended but those that last. */
    long slots(Capacity size) {
        Capacity lasting = worker.runs().stream()
                .filter(run -> run.step().getLongRunning())
                .map(TrackedRun::size)
                .reduce(Capacity.NONE, Capacity::plus);
        return size.timesIn(worker.capacity().minus(lasting));
    }

    /** Returns the estimated time until a number of tasks fits beside the reservations of others, in milliseconds. */
    long millisUntilFits(WaitingStep step, int tasks, long nowMillis) {
        Capacity held = reservations.getOrDefault(step, Capacity.NONE);
        return millisUntilFree(reserved.minus(held).plus(required(step.ready(), tasks)), nowMillis);
    }

    /** Returns the estimated time until the reservation of a gang, and those before it, fit, in milliseconds. */
    long millisUntilReserved(WaitingStep gang, long nowMillis) {
        return millisUntilFree(reservedUpTo(gang), nowMillis);
    }

    /** Returns whether the reservation of a gang, and those before it, wait only for runs that are overdue. */
    boolean awaitsOnlyOverdueRuns(WaitingStep gang, long nowMillis) {
        Capacity available = worker.runs().stream()
                .filter(run -> overdue(run, nowMillis))
                .map(TrackedRun::size)
                .reduce(worker.freeCapacity(), Capacity::plus);
        return reservedUpTo(gang).fitsIn(available);
    }

    /** Returns the number of runs that last longer than estimated. */
    int overdueRuns(long nowMillis) {
        return (int)
                worker.runs().stream().filter(run -> overdue(run, nowMillis)).count();
    }

    private static boolean overdue(TrackedRun run, long nowMillis) {
        return !run.step().getLongRunning() && run.overdue(nowMillis);
    }

    /** Returns the processors that are reserved and that the worker has, in thousandths of a core. */
    long reservedCpuMillis() {
        return Math.min(reserved.cpuMillis(), worker.capacity().cpuMillis());
    }

    private Capacity reservedUpTo(WaitingStep gang) {
        Capacity required = Capacity.NONE;
        for (Map.Entry<WaitingStep, Capacity> reservation : reservations.entrySet()) {
            required = required.plus(reservation.getValue());
            if (reservation.getKey() == gang) {
                break;
            }
        }
        return required;
    }

    /** Returns {@link Long#MAX_VALUE} if the capacity is not free when all runs have ended but those that last. */
    private long millisUntilFree(Capacity required, long nowMillis) {
        Capacity available = worker.freeCapacity();
        if (required.fitsIn(available)) {
            return 0;
        }
        List<TrackedRun> earliestFirst = worker.runs().stream()
                .filter(run -> !run.step().getLongRunning())
                .sorted(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)))
                .toList();
        for (TrackedRun run : earliestFirst) {
            available = available.plus(run.size());
            if (required.fitsIn(available)) {
                return run.remainingMillis(nowMillis);
            }
        }
        return Long.MAX_VALUE;
    }

    @Override
    public String toString() {
        return id().toString();
    }
}
