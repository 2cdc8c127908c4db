package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests when a lease on a possibly slow clock has certainly expired. */
public class LeaseClockTest {

    private static final long LEASE_MILLIS = 6_000;

    @Test
    public void leaseLastsLongerOnSlowClock() {
        LeaseClock clock = new LeaseClock(LEASE_MILLIS, 0);
        clock.recordReading(100_000, 0);
        assertEquals(clock.grant(0), 106_000);
        assertFalse(clock.expired(6_100), "a clock that is 2% slow shows 105978 after 6100 ms");
        assertTrue(clock.expired(6_200));
    }

    @Test
    public void leaseOfEarlierLeaderCountsFromTakeover() {
        LeaseClock clock = new LeaseClock(LEASE_MILLIS, 1_000);
        assertFalse(clock.expired(7_000));
        assertTrue(clock.expired(7_200));
    }

    @Test
    public void firstReadingAssumesWholeLeaseOfEarlierLeader() {
        LeaseClock clock = new LeaseClock(LEASE_MILLIS, 0);
        clock.recordReading(50_000, 5_000);
        assertFalse(clock.expired(10_900));
        assertTrue(clock.expired(11_200));
    }

    @Test
    public void delayedReadingDoesNotMoveClockBack() {
        LeaseClock clock = new LeaseClock(LEASE_MILLIS, 0);
        clock.recordReading(100_000, 0);
        clock.recordReading(100_500, 3_000);
        assertEquals(clock.grant(3_000), 100_000 + 2_940 + LEASE_MILLIS);
    }
}
