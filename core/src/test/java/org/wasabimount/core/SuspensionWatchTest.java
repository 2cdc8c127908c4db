package org.wasabimount.core;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks when a host is considered to have been suspended. */
public class SuspensionWatchTest {

    private long monotonicMillis = 1_000;
    private long wallMillis = 1_700_000_000_000L;

    private void advance(long onMonotonicMillis, long onWallMillis) {
        monotonicMillis += onMonotonicMillis;
        wallMillis += onWallMillis;
    }

    @Test
    public void reportsTimeThatOnlyTheWallClockCounted() {
        SuspensionWatch watch = new SuspensionWatch(() -> monotonicMillis, () -> wallMillis);
        advance(5_000, 5_010);
        assertFalse(watch.wasSuspended());
        advance(10, 6_000);
        assertTrue(watch.wasSuspended());
        assertFalse(watch.wasSuspended(), "a suspension is reported once");
    }

    @Test
    public void ignoresBackwardStepOfTheWallClock() {
        SuspensionWatch watch = new SuspensionWatch(() -> monotonicMillis, () -> wallMillis);
        advance(100, -2_000);
        assertFalse(watch.wasSuspended());
    }
}
