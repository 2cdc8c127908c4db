package org.wasabimount.core.placement;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.Worker;

/** A worker as one round sees it: with the room that the round has already given away taken off. */
final class WorkerView {

    private final Worker worker;
    private long freeCpuMillis;
    private long freeMemoryMegabytes;
    private long freeAccelerators;
    private int startsLeft;
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
        reserved = reservedForJob;
    }

    boolean fits(Capacity demand) {
        return startsLeft > 0
                && demand.cpuMillis() <= freeCpuMillis
                && demand.memoryMegabytes() <= freeMemoryMegabytes
                && demand.accelerators() <= freeAccelerators;
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
        double stranded = demand.accelerators() == 0 && worker.size().accelerators() > 0 ? 2.0 : 0.0;
        return cpu + memory + Math.abs(cpu - memory) + stranded;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
