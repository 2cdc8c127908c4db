package org.wasabimount.core.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases that the cell's leader has granted to workers. Kept by the leader only, never logged.
 *
 * <p>A worker counts its lease from the moment it sent its heartbeat, the leader from the moment it answered, with a
 * margin for clock rates on top. A new leader grants nothing shorter than its predecessor may have: it waits a whole
 * lease before it declares any worker lost.
 */
public final class WorkerLeases {

    private static final long CLOCK_RATE_MARGIN_DIVISOR = 10;

    private final Map<String, Long> expiryMillisByWorker = new HashMap<>();
    private long leaderSinceMillis = Long.MIN_VALUE;

    /**
     * Notes that a worker was answered.
     *
     * @param worker the worker's name
     * @param leaseMillis the lease it was granted
     * @param nowMillis monotonic time
     */
    public void grant(String worker, long leaseMillis, long nowMillis) {
        expiryMillisByWorker.merge(worker, expiryMillis(leaseMillis, nowMillis), Math::max);
    }

    /**
     * Forgets every lease when another term of leadership begins.
     *
     * @param sinceMillis monotonic time at which this replica became leader
     */
    public void resetIfNewTerm(long sinceMillis) {
        if (sinceMillis != leaderSinceMillis) {
            leaderSinceMillis = sinceMillis;
            expiryMillisByWorker.clear();
        }
    }

    /**
     * Finds the workers whose lease is certainly over.
     *
     * @param state the cell's state
     * @param leaseMillis the longest lease that an earlier leader may have granted
     * @param nowMillis monotonic time
     * @return the workers, without those already known as lost
     */
    public List<Worker> expiredWorkers(CellState state, long leaseMillis, long nowMillis) {
        long unknownLeaseExpiryMillis = expiryMillis(leaseMillis, leaderSinceMillis);
        return state.workers().stream()
                .filter(worker -> !worker.lost())
                .filter(worker -> nowMillis
                        >= expiryMillisByWorker.getOrDefault(worker.id().name(), unknownLeaseExpiryMillis))
                .toList();
    }

    private static long expiryMillis(long leaseMillis, long fromMillis) {
        return fromMillis + leaseMillis + leaseMillis / CLOCK_RATE_MARGIN_DIVISOR;
    }
}
