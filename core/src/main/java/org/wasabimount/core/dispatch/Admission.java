package org.wasabimount.core.dispatch;

import java.util.Optional;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

/**
 * Decides on arrival whether a job is accepted.
 *
 * <p>Designed for overload that lasts for seconds, when more work arrives than the workers can complete in time. A job
 * that would be late is refused at once, with a retry time after which enough of the work ahead of it will be done; a
 * job is never queued first and refused later.
 */
public final class Admission {

    /**
     * Share of the workers' cores that can be kept busy; the rest is lost between tasks and in gaps too small for a
     * task.
     */
    private static final double REACHABLE_SHARE = 0.85;

    /** Minimum retry time, in milliseconds: the header carries whole seconds. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Maximum retry time, in milliseconds: clients' own deadlines have passed by then. */
    private static final long MAX_RETRY_MILLIS = 8_000;

    private Admission() {}

    /**
     * Decides whether one job is accepted.
     *
     * @param spec the job
     * @param queue the queue to which it was submitted
     * @param workAhead the work scheduled before it, in thousandths of a core times milliseconds
     * @param usableCpuMillis the cores of the usable workers, in thousandths of a core
     * @return the refusal, empty if the job is accepted
     */
    public static Optional<Refusal> decide(JobSpec spec, Queue queue, double workAhead, long usableCpuMillis) {
        if (usableCpuMillis <= 0) {
            return Optional.of(
                    new Refusal(ResultCode.NO_BACKEND_SERVER, "no usable worker is known", MIN_RETRY_MILLIS));
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
