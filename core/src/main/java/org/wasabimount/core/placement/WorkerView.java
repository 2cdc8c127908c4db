package org.wasabimount.core.placement;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.Worker;

/** A worker as one round sees it: with the room that the round has already given away taken off. */
final class WorkerView {

    private static final double STRANDED_WEIGHT = 0.1;
    private static final double IMBALANCE_WEIGHT = 1.0;

    private final Worker worker;
    private long freeCpuMillis;
    private long freeMemoryMegabytes;
    private long freeAccelerators;
    private int startsLeft;
    private boolean accepts;
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

    void reserve(boolean reservedForJob) {
        reserved = reservedForJob;
    }

    void refresh(long nowMillis, boolean reservedForJob) {
        Capacity size = worker.size();
        Capacity committed = worker.committed();
        freeCpuMillis = size.cpuMillis() - committed.cpuMillis();
        freeMemoryMegabytes = size.memoryMegabytes() - committed.memoryMegabytes();
        freeAccelerators = size.accelerators() - committed.accelerators();
        startsLeft = worker.openStarts(nowMillis);
        accepts = worker.acceptsTasks(nowMillis);
        reserved = reservedForJob;
    }

    Capacity free() {
        return new Capacity(freeCpuMillis, freeMemoryMegabytes, freeAccelerators);
    }

    /** Tells whether nothing is committed here, nor given away in this round. */
    boolean empty() {
        return worker.size().equals(free());
    }

    boolean accepts() {
        return accepts;
    }

    /** Tells whether there is room, be there a start left or not. */
    boolean hasRoom(Capacity demand) {
        return accepts
                && demand.cpuMillis() <= freeCpuMillis
                && demand.memoryMegabytes() <= freeMemoryMegabytes
                && demand.accelerators() <= freeAccelerators;
    }

    boolean hasStart() {
        return startsLeft > 0;
    }

    /** Returns how many tasks of a size fit, up to a limit; zero for a worker under suspicion without a start left. */
    long places(Capacity size, long limit) {
        if (!accepts || reserved || !worker.trusted() && startsLeft == 0) {
            return 0;
        }
        return worker.trusted() ? Math.min(limit, size.timesIn(free())) : Math.min(startsLeft, size.timesIn(free()));
    }

    void take(Capacity demand) {
        freeCpuMillis -= demand.cpuMillis();
        freeMemoryMegabytes -= demand.memoryMegabytes();
        freeAccelerators -= demand.accelerators();
        startsLeft--;
    }

    void giveBack(Capacity demand) {
        freeCpuMillis += demand.cpuMillis();
        freeMemoryMegabytes += demand.memoryMegabytes();
        freeAccelerators += demand.accelerators();
        startsLeft++;
    }

    /** Returns the share of processors that stays free after a demand. */
    double cpuLeft(Capacity demand) {
        return share(freeCpuMillis - demand.cpuMillis(), worker.size().cpuMillis());
    }

    /**
     * Returns how badly a demand suits what is free: the room left over, the imbalance between dimensions, and
     * accelerators that the demand would strand.
     */
    double waste(Capacity demand) {
        double cpu = cpuLeft(demand);
        double memory = share(
                freeMemoryMegabytes - demand.memoryMegabytes(), worker.size().memoryMegabytes());
        double stranded = demand.accelerators() == 0 && freeAccelerators > 0 ? STRANDED_WEIGHT : 0.0;
        return cpu + memory + IMBALANCE_WEIGHT * Math.abs(cpu - memory) + stranded;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
