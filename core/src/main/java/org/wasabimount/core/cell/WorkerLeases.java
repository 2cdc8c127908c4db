package org.wasabimount.core.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases that the cell's leader has granted to workers. Kept in memory by the leader only, never logged.
 *
 * <p>A worker counts its lease from the time at which it sent its heartbeat. The leader counts it from the time of its
 * response and adds a margin for differing clock rates. A new leader does not know which leases its predecessor
 * granted, so it waits for the longest possible lease before it declares any worker lost.
 */
public final class WorkerLeases {

    private static final long CLOCK_RATE_MARGIN_DIVISOR = 10;

    private final Map<String, Long> expiryMillisByWorker = new HashMap<>();
    private long leaderSinceMillis = Long.MIN_VALUE;

    /**
     * Records the lease granted in the response to a worker's heartbeat.
     *
     * @param worker the worker's name
     * @param leaseMillis the granted lease in milliseconds
     * @param nowMillis monotonic time in milliseconds
     */
    public void grant(String worker, long leaseMillis, long nowMillis) {
        expiryMillisByWorker.merge(worker, expiryMillis(leaseMillis, nowMillis), Math::max);
    }

    /**
     * Discards all leases if a new term of leadership has begun.
     *
     * @param sinceMillis monotonic time in milliseconds at which this replica became leader
     */
    public void resetIfNewTerm(long sinceMillis) {
        if (sinceMillis != leaderSinceMillis) {
            leaderSinceMillis = sinceMillis;
            expiryMillisByWorker.clear();
        }
    }

    /**
     * Returns the workers whose lease has certainly expired.
     *
     * @param state the cell's state
     * @param leaseMillis the longest lease that an earlier leader may have granted, in milliseconds
     * @param nowMillis monotonic time in milliseconds
     * @return the workers, without those already declared lost
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
