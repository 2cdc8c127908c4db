package org.wasabimount.core;

/** Tells the time in milliseconds. */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the current time.
     *
     * @return milliseconds since an origin that stays fixed for the life of the process
     */
    long millis();

    /**
     * Returns a clock that never goes back, for leases and timeouts.
     *
     * @return a clock over the monotonic time of the Java virtual machine
     */
    static Clock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns a clock that counts from the Unix epoch, for times that leave the process.
     *
     * @return a clock over the system's time of day
     */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}
