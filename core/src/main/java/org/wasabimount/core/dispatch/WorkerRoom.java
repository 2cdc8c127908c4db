package org.wasabimount.core.dispatch;

import java.util.Comparator;
import java.util.List;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;

/** The room on one worker during one placement round. */
final class WorkerRoom {

    private final TrackedWorker worker;
    private final int number;
    private Capacity free;
    private Capacity allocated = Capacity.NONE;
    private List<TrackedRun> earliestFirst;

    WorkerRoom(TrackedWorker worker, int number) {
        this.worker = worker;
        this.number = number;
        this.free = worker.freeCapacity();
    }

    TrackedWorker worker() {
        return worker;
    }

    /** Returns the worker's place in the order in which the workers are considered. */
    int number() {
        return number;
    }

    IncarnationId id() {
        return worker.entry().id();
    }

    /**
     * Returns the free capacity after the placements and reservations of this round; reservations may make it negative.
     */
    Capacity free() {
        return free;
    }

    /** Allocates capacity to a task or a gang's reservation. */
    void allocate(Capacity size) {
        free = free.minus(size);
        allocated = allocated.plus(size);
    }

    /** Returns the free share of the worker's capacity. */
    double freeShare() {
        return free.dominantShare(worker.entry().capacity());
    }

    /**
     * Returns the estimated time until a size fits beside the allocations of this round, in milliseconds,
     * {@link Long#MAX_VALUE} if it does not fit when all runs have ended but those that last.
     */
    long millisUntilFits(Capacity size, long nowMillis) {
        Capacity required = size.plus(allocated);
        Capacity available = worker.freeCapacity();
        if (required.fitsIn(available)) {
            return 0;
        }
        if (earliestFirst == null) {
            earliestFirst = worker.runs().stream()
                    .sorted(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)))
                    .toList();
        }
        for (TrackedRun run : earliestFirst) {
            if (run.step().getLongRunning()) {
                continue;
            }
            available = available.plus(run.size());
            if (required.fitsIn(available)) {
                return run.remainingMillis(nowMillis);
            }
        }
        return Long.MAX_VALUE;
    }
}
