package org.wasabimount.core;

/**
 * Detects that the host was suspended for a time that its monotonic clock did not count.
 *
 * <p>While a host is suspended, its monotonic clock may stop, so a lease that is measured with it still appears valid
 * when the host resumes. The wall clock does not stop. A forward step of the wall clock cannot be distinguished from a
 * suspension, and costs one round of heartbeats.
 */
public final class SuspensionWatch {

    /**
     * Largest advance of the wall clock over the monotonic clock that is not treated as a suspension, in milliseconds;
     * well below any election timeout.
     */
    private static final long TOLERANCE_MILLIS = 150;

    private final Clock monotonic;
    private final Clock wall;
    private long lastWallAheadMillis;

    /**
     * Creates a watch.
     *
     * @param monotonic the monotonic clock, which may stop during a suspension
     * @param wall the wall clock
     */
    public SuspensionWatch(Clock monotonic, Clock wall) {
        this.monotonic = Validate.notNull(monotonic, "monotonic");
        this.wall = Validate.notNull(wall, "wall");
        this.lastWallAheadMillis = wall.millis() - monotonic.millis();
    }

    /**
     * Returns whether the host may have been suspended since the previous call.
     *
     * @return true if the wall clock has advanced further than the monotonic clock
     */
    public boolean wasSuspended() {
        long wallAheadMillis = wall.millis() - monotonic.millis();
        boolean suspended = wallAheadMillis - lastWallAheadMillis > TOLERANCE_MILLIS;
        lastWallAheadMillis = wallAheadMillis;
        return suspended;
    }
}
