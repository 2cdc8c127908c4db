package org.wasabimount.core.placement;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.Worker;

/** A worker during one placement round: its free capacity is reduced by what the round has already allocated. */
final class WorkerView {

    private static final double STRANDED_WEIGHT = 0.1;
    private static final double IMBALANCE_WEIGHT = 1.0;

    private final Worker worker;
    private long freeCpuMillis;
    private long freeMemoryMegabytes;
    private long freeAccelerators;
    private double perCpuMilli;
    private double perMegabyte;
    private int remainingStarts;
    private boolean accepts;
    private boolean trusted;
    private boolean reserved;

    WorkerView(Worker worker) {
        this.worker = worker;
    }

    Worker worker() {
        return worker;
    }

    boolean reserved() {
        return reserved;
    }

    void setReserved(boolean reservedForJob) {
        reserved = reservedForJob;
    }

    void refresh(long nowMillis, boolean reservedForJob) {
        Capacity size = worker.size();
        Capacity committed = worker.committed();
        freeCpuMillis = size.cpuMillis() - committed.cpuMillis();
        freeMemoryMegabytes = size.memoryMegabytes() - committed.memoryMegabytes();
        freeAccelerators = size.accelerators() - committed.accelerators();
        remainingStarts = worker.availableStarts(nowMillis);
        accepts = worker.acceptsTasks(nowMillis);
        trusted = worker.trusted(nowMillis);
        reserved = reservedForJob;
        perCpuMilli = inverse(size.cpuMillis());
        perMegabyte = inverse(size.memoryMegabytes());
    }

    Capacity free() {
        return new Capacity(freeCpuMillis, freeMemoryMegabytes, freeAccelerators);
    }

    /** Returns whether no capacity is committed here and none was allocated in this round. */
    boolean empty() {
        return freeCpuMillis == worker.size().cpuMillis()
                && freeMemoryMegabytes == worker.size().memoryMegabytes()
                && freeAccelerators == worker.size().accelerators();
    }

    boolean accepts() {
        return accepts;
    }

    /** Returns whether the worker accepts tasks and has the free capacity, regardless of its start limit. */
    boolean hasCapacityFor(Capacity demand) {
        return accepts
                && demand.cpuMillis() <= freeCpuMillis
                && demand.memoryMegabytes() <= freeMemoryMegabytes
                && demand.accelerators() <= freeAccelerators;
    }

    /** Returns whether the start limit allows another task to be bound here. */
    boolean canStart() {
        return remainingStarts > 0;
    }

    /**
     * Returns whether a task of a job may be bound here. A job may exceed the start limit of a trusted worker on which
     * a task has succeeded, where that is no risk, and with {@code allowUnproven} that of any trusted worker.
     */
    boolean canStartJobTask(boolean allowUnproven) {
        return canStart() || trusted && (worker.proven() || allowUnproven);
    }

    /** Returns how many tasks of a job can be bound here, up to a limit where the start limit does not apply. */
    long taskSlots(Capacity size, long limit, boolean allowUnproven) {
        if (!accepts || reserved) {
            return 0;
        }
        boolean ignoreStartLimit = trusted && (worker.proven() || allowUnproven);
        return Math.min(ignoreStartLimit ? limit : remainingStarts, size.timesIn(free()));
    }

    void allocate(Capacity demand) {
        freeCpuMillis -= demand.cpuMillis();
        freeMemoryMegabytes -= demand.memoryMegabytes();
        freeAccelerators -= demand.accelerators();
        remainingStarts--;
    }

    void release(Capacity demand) {
        freeCpuMillis += demand.cpuMillis();
        freeMemoryMegabytes += demand.memoryMegabytes();
        freeAccelerators += demand.accelerators();
        remainingStarts++;
    }

    /** Returns the share of the worker's processors that stays free after a demand is placed. */
    double remainingCpuShare(Capacity demand) {
        return (freeCpuMillis - demand.cpuMillis()) * perCpuMilli;
    }

    /**
     * Returns how poorly a demand fits the free capacity; lower is better. The score adds up the share of capacity left
     * over, the imbalance between processors and memory, and a penalty if the demand would leave accelerators stranded.
     */
    double wasteScore(Capacity demand) {
        double cpu = (freeCpuMillis - demand.cpuMillis()) * perCpuMilli;
        double memory = (freeMemoryMegabytes - demand.memoryMegabytes()) * perMegabyte;
        double stranded = demand.accelerators() == 0 && freeAccelerators > 0 ? STRANDED_WEIGHT : 0.0;
        return cpu + memory + IMBALANCE_WEIGHT * Math.abs(cpu - memory) + stranded;
    }

    private static double inverse(long whole) {
        return whole == 0 ? 0 : 1.0 / whole;
    }
}
