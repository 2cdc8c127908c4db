package org.wasabimount.core.dispatch;

import java.util.List;
import java.util.Map;

import org.wasabimount.core.job.StepId;

/**
 * A sample of the idle jobs and of the room on the usable workers. A job is idle while one of its steps is ready and it
 * has no run placed.
 *
 * @param jobs the number of idle jobs by what they wait for
 * @param longestMillis for how long the job has been idle that has been so longest, in milliseconds
 * @param freeShare the share of the usable workers' cores that no run uses, whether it is reserved or not
 * @param reservedShare the share of the usable workers' cores that is reserved, whether a run still uses it or not
 * @param longIdle the jobs that have been idle for long and are due for a report, longest unreported first
 */
public record IdleStatus(
        Map<IdleReason, Long> jobs,
        long longestMillis,
        double freeShare,
        double reservedShare,
        List<IdleJob> longIdle) {

    /** The status of a node that does not lead. */
    public static final IdleStatus NONE = new IdleStatus(Map.of(), 0, 0, 0, List.of());

    /** The time until room is free of which no estimate is known. */
    public static final long UNKNOWN_MILLIS = -1;

    /**
     * A job that has been idle for long, by one of its ready steps.
     *
     * @param step the step
     * @param queue the name of the job's queue
     * @param idleMillis for how long the job has been idle, as far as this leader has seen it, in milliseconds
     * @param waitsFor what the step waits for
     * @param tasks the number of its tasks that are not placed
     * @param tasksReserved the number of its tasks for which room is reserved
     * @param workersReserved the number of workers on which room is reserved for it
     * @param withoutTicket the number of these workers without a valid ticket
     * @param unusable the number of workers that may run it and are not usable
     * @param readyInMillis the estimated time until the reserved room is free, in milliseconds, or
     *     {@link #UNKNOWN_MILLIS}
     * @param overdueRuns the number of runs that last longer than estimated, on the workers reserved for it, or on those
     *     that may run it if none are
     * @param eligibleWorkers the number of usable workers that may run it
     * @param freeShare the share of the cores of these workers that no run uses
     */
    public record IdleJob(
            StepId step,
            String queue,
            long idleMillis,
            IdleReason waitsFor,
            int tasks,
            int tasksReserved,
            int workersReserved,
            int withoutTicket,
            int unusable,
            long readyInMillis,
            int overdueRuns,
            int eligibleWorkers,
            double freeShare) {}
}
