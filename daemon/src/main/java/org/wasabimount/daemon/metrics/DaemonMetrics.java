package org.wasabimount.daemon.metrics;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.routing.AttemptResult;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;

/** The metrics of one daemon process. */
public final class DaemonMetrics extends ProcessMetrics {

    private static final double[] WAIT_BOUNDS_SECONDS = {0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10};

    private final Counter refusals = counter()
            .name("wasabimount_refusals")
            .help("Requests and writes that were refused, by result code")
            .labelNames("code")
            .register(registry());
    private final Counter retries = counter()
            .name("wasabimount_request_retries")
            .help("Requests that were sent to a backend server again")
            .register(registry());
    private final Counter attemptFailures = counter()
            .name("wasabimount_attempt_failures")
            .help("Attempts without a good answer, by reason; each is why a retry was considered")
            .labelNames("reason")
            .register(registry());
    private final Counter lateAnswers = counter()
            .name("wasabimount_late_answers")
            .help("Answers that came after their attempt had ended; they are dropped")
            .register(registry());
    private final Counter answers = counter()
            .name("wasabimount_answers")
            .help("Requests that were answered by a backend server")
            .register(registry());
    private final Histogram waits = histogram()
            .name("wasabimount_request_wait_seconds")
            .help("Time from a request's arrival to its first dispatch")
            .classicOnly()
            .classicUpperBounds(WAIT_BOUNDS_SECONDS)
            .register(registry());

    /**
     * Counts a refused request or write.
     *
     * @param code the reason of the refusal
     */
    public void requestRefused(ResultCode code) {
        refusals.labelValues(code.number() + "_" + code.name()).inc();
    }

    /** Counts a retry of a request. */
    public void requestRetried() {
        retries.inc();
    }

    /** Counts a request that a backend server responded to. */
    public void answered() {
        answers.inc();
    }

    /**
     * Counts a failed attempt.
     *
     * @param reason the result of the attempt
     */
    public void attemptFailed(AttemptResult reason) {
        attemptFailures.labelValues(reason.name()).inc();
    }

    /**
     * Counts responses that arrived after their attempt had ended.
     *
     * @param count the number of such responses since the last call
     */
    public void lateAnswers(long count) {
        lateAnswers.inc(count);
    }

    /**
     * Records the time that a request waited for its first dispatch.
     *
     * @param waitedMillis the time, in milliseconds
     */
    public void requestWaited(long waitedMillis) {
        waits.observe(seconds(waitedMillis));
    }
}
