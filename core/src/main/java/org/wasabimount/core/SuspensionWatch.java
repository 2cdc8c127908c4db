package org.wasabimount.core;

/**
 * Notices that the host stood still for a time that its monotonic clock did not count.
 *
 * <p>While a host is suspended its monotonic clock may stop, so a lease that is counted on it seems to hold when the host
 * goes on. The time of day does not stop. A step of the time of day looks the same, and costs one round of heartbeats.
 */
public final class SuspensionWatch {

    /** Difference between the two clocks that counts, in milliseconds; well below any election timeout. */
    private static final long TOLERANCE_MILLIS = 150;

    private final Clock monotonic;
    private final Clock wall;
    private long lastWallAheadMillis;

    /**
     * Creates a watch.
     *
     * @param monotonic the clock that may stand still
     * @param wall the time of day
     */
    public SuspensionWatch(Clock monotonic, Clock wall) {
        this.monotonic = Validate.notNull(monotonic, "monotonic");
        this.wall = Validate.notNull(wall, "wall");
        this.lastWallAheadMillis = wall.millis() - monotonic.millis();
    }

    /**
     * Tells whether the host may have stood still since the last call.
     *
     * @return true if the time of day got ahead of the monotonic clock
     */
    public boolean wasSuspended() {
        long wallAheadMillis = wall.millis() - monotonic.millis();
        boolean suspended = wallAheadMillis - lastWallAheadMillis > TOLERANCE_MILLIS;
        lastWallAheadMillis = wallAheadMillis;
        return suspended;
    }
}
