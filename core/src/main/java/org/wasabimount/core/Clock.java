package org.wasabimount.core;

/** A source of time in milliseconds. */
@FunctionalInterface
public interface Clock {

    /**
     * Returns the current time.
     *
     * @return milliseconds since an origin that is fixed while the process runs
     */
    long millis();

    /**
     * Returns a clock that never goes back, for leases and timeouts.
     *
     * @return a clock based on the monotonic time of the Java virtual machine
     */
    static Clock monotonic() {
        return () -> System.nanoTime() / 1_000_000L;
    }

    /**
     * Returns a clock that counts from the Unix epoch, for times that leave the process.
     *
     * @return a clock based on the system's wall-clock time
     */
    static Clock wall() {
        return System::currentTimeMillis;
    }
}
