package org.wasabimount.core;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how often a repeated line is allowed, and how many events it stands for. */
public class LogThrottleTest {

    private static final long INTERVAL_MILLIS = 5_000;

    private LogThrottle throttle;

    @BeforeMethod
    public void createThrottle() {
        throttle = new LogThrottle(INTERVAL_MILLIS);
    }

    @Test
    public void allowsFirstLineAtOnce() {
        assertEquals(throttle.tryAcquire(-100), OptionalLong.of(1));
    }

    @Test
    public void allowsOneLinePerInterval() {
        throttle.tryAcquire(1_000);
        assertEquals(throttle.tryAcquire(1_000), OptionalLong.empty());
        assertEquals(throttle.tryAcquire(5_999), OptionalLong.empty());
        assertEquals(throttle.tryAcquire(6_000), OptionalLong.of(3));
        assertEquals(throttle.tryAcquire(11_000), OptionalLong.of(1));
    }
}
