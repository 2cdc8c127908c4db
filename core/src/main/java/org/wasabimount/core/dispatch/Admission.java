package org.wasabimount.core.dispatch;

import java.util.Optional;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

/**
 * Decides whether a job is accepted when it arrives.
 *
 * <p>The load it answers: for seconds, more work arrives than the workers can do in time. A job that would be late is
 * refused at once with the time after which the work ahead of it will have shrunk enough; it is never kept waiting to
 * be refused later.
 */
public final class Admission {

    /** Share of the workers' cores that can be kept busy; the rest is lost between tasks and in gaps too small. */
    private static final double REACHABLE_SHARE = 0.85;

    /** Shortest time to come back, in milliseconds: the header carries whole seconds. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Longest time to come back, in milliseconds: later than this a client's own deadlines are over. */
    private static final long MAX_RETRY_MILLIS = 8_000;

    private Admission() {}

    /**
     * Decides about one job.
     *
     * @param spec the job
     * @param queue the queue that it came in by
     * @param workAhead the work that would be done before it, in thousandths of a core times milliseconds
     * @param usableCpuMillis the cores of the workers that can be used, in thousandths
     * @return why the job is refused, empty if it is accepted
     */
    public static Optional<Refusal> decide(JobSpec spec, Queue queue, double workAhead, long usableCpuMillis) {
        if (usableCpuMillis <= 0) {
            return Optional.of(new Refusal(ResultCode.NO_BACKEND_SERVER, "no worker is known", MIN_RETRY_MILLIS));
        }
        long criticalPathMillis = JobPlan.criticalPathMillis(spec, queue);
        long slackMillis = JobPlan.objectiveMillis(spec, queue) - criticalPathMillis;
        double waitMillis = workAhead / (usableCpuMillis * REACHABLE_SHARE);
        if (waitMillis <= slackMillis) {
            return Optional.empty();
        }
        long excessMillis = (long) (waitMillis - slackMillis);
        long retryMillis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, excessMillis));
        return Optional.of(new Refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                "the work ahead takes " + (long) waitMillis + " ms, the job can wait " + slackMillis + " ms",
                retryMillis));
    }
}
