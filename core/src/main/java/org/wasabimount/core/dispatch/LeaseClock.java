package org.wasabimount.core.dispatch;

/**
 * Tracks a worker's monotonic clock and the latest end of the leases granted to the worker.
 *
 * <p>A worker's clock may run up to 2% slow. The current value is therefore estimated by a lower bound: the last
 * reading plus the time since then at the slowest allowed rate.
 */
final class LeaseClock {

    /** The slowest allowed rate of a worker's clock, from the platform's contract. */
    private static final double SLOWEST_RATE = 0.98;

    /** Covers rounding to whole milliseconds on the leader and on the worker. */
    private static final long MARGIN_MILLIS = 20;

    private final long leaseMillis;
    private final long createdMillis;
    private boolean hasReading;
    private long readingMillis;
    private long readAtMillis;
    private long leaseUntilMillis = Long.MIN_VALUE;

    /** Creates a clock without a reading; an earlier leader may have granted a full lease just before this moment. */
    LeaseClock(long leaseMillis, long nowMillis) {
        this.leaseMillis = leaseMillis;
        this.createdMillis = nowMillis;
    }

    void recordReading(long clockMillis, long nowMillis) {
        if (!hasReading || clockMillis >= lowerBoundMillis(nowMillis)) {
            readingMillis = clockMillis;
            readAtMillis = nowMillis;
        }
        if (!hasReading) {
            hasReading = true;
            // Any lease of an earlier leader was granted before this moment.
            leaseUntilMillis = clockMillis + leaseMillis;
        }
    }

    /** Returns how long ago a clock had a value at least, in milliseconds; zero if there is no reading yet. */
    long ageMillis(long clockMillis, long nowMillis) {
        return hasReading ? Math.max(0, lowerBoundMillis(nowMillis) - clockMillis) : 0;
    }

    /** Returns the longest real time in which a worker's clock advances by a time, in milliseconds. */
    static long longestMillis(long clockMillis) {
        return (long) Math.ceil(clockMillis / SLOWEST_RATE);
    }

    boolean hasReading() {
        return hasReading;
    }

    /** Grants a lease that begins now and returns its end on the worker's clock, zero if there is no reading yet. */
    long grant(long nowMillis) {
        if (!hasReading) {
            return 0;
        }
        long until = lowerBoundMillis(nowMillis) + leaseMillis;
        leaseUntilMillis = Math.max(leaseUntilMillis, until);
        return until;
    }

    /** Returns the end of the latest lease on the worker's clock, zero if there is none or it may have expired. */
    long granted(long nowMillis) {
        return hasReading && lowerBoundMillis(nowMillis) < leaseUntilMillis ? leaseUntilMillis : 0;
    }

    /** Returns whether every lease granted so far has certainly expired. */
    boolean expired(long nowMillis) {
        if (!hasReading) {
            return nowMillis - createdMillis > leaseMillis / SLOWEST_RATE + MARGIN_MILLIS;
        }
        return lowerBoundMillis(nowMillis) > leaseUntilMillis + MARGIN_MILLIS;
    }

    private long lowerBoundMillis(long nowMillis) {
        return readingMillis + (long) ((nowMillis - readAtMillis) * SLOWEST_RATE);
    }
}
