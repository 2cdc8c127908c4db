package org.wasabimount.core.share;

/**
 * The rate of jobs that an organisation is owed: its weight in jobs a second.
 *
 * <p>Designed for an organisation that sends at several times its usual rate for seconds: what exceeds the rate is told
 * apart on arrival, and what was not used earlier does not add up to more than a second's worth.
 */
final class OwedRate {

    /** Time for which unused jobs add up, in milliseconds: the rate is owed for each second. */
    private static final double BURST_MILLIS = 1_000;

    private double perMilli;
    private double available;
    private long refilledMillis;

    OwedRate(int weight, long nowMillis) {
        weight(weight);
        this.available = burst();
        this.refilledMillis = nowMillis;
    }

    /** Sets the organisation's weight, in jobs a second. */
    void weight(int perSecond) {
        perMilli = perSecond / BURST_MILLIS;
        available = Math.min(available, burst());
    }

    private double burst() {
        return Math.max(1, perMilli * BURST_MILLIS);
    }

    /** Returns whether a job that is submitted now lies within the rate, and counts it if so. */
    boolean take(long nowMillis) {
        boolean owed = available(nowMillis);
        available -= owed ? 1 : 0;
        return owed;
    }

    /** Returns whether a job that is submitted now would lie within the rate. */
    boolean available(long nowMillis) {
        available = Math.min(burst(), available + perMilli * (nowMillis - refilledMillis));
        refilledMillis = nowMillis;
        return available >= 1;
    }
}
