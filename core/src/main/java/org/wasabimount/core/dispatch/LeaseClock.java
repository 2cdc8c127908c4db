package org.wasabimount.core.dispatch;

/**
 * What is known of a worker's steady clock and of the lease that it may hold.
 *
 * <p>The worker's clock may run up to 2% slow. So a bound is taken from the moment of the last reading and widened with
 * its age.
 */
final class LeaseClock {

    /** The slowest that a worker's clock may run, from the platform's contract. */
    private static final double SLOWEST_RATE = 0.98;

    /** Covers rounding to whole milliseconds on both sides. */
    private static final long MARGIN_MILLIS = 20;

    private final long leaseMillis;
    private final long createdMillis;
    private boolean hasReading;
    private long readingMillis;
    private long readAtMillis;
    private long leaseUntilMillis = Long.MIN_VALUE;

    /** Begins without a reading: an earlier leader may have granted a whole lease until now. */
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
            // Whatever an earlier leader granted was granted before this moment.
            leaseUntilMillis = clockMillis + leaseMillis;
        }
    }

    boolean hasReading() {
        return hasReading;
    }

    /** Returns the end of a lease that begins now, on the worker's clock, and notes that it was granted. */
    long grant(long nowMillis) {
        if (!hasReading) {
            return 0;
        }
        long until = lowerBoundMillis(nowMillis) + leaseMillis;
        leaseUntilMillis = Math.max(leaseUntilMillis, until);
        return until;
    }

    /** Tells whether every lease ever granted is surely over. */
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
