package org.wasabimount.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wasabimount.core.job.StepId;

/**
 * A sample of the dispatcher's workers and waiting steps.
 *
 * @param knownWorkers the number of workers known to the leader
 * @param usableWorkers the number of workers on which tasks may be placed
 * @param waitingSteps the number of ready steps with tasks that are not placed, by reason
 * @param longWaits the steps that have waited long and are due for a report, longest unreported first
 * @param idle the idle jobs and the room
 */
public record DispatchStatus(
        int knownWorkers,
        int usableWorkers,
        Map<WaitReason, Long> waitingSteps,
        List<LongWait> longWaits,
        IdleStatus idle) {

    /** The status of a node that does not lead. */
    public static final DispatchStatus NONE = new DispatchStatus(0, 0, Map.of(), List.of(), IdleStatus.NONE);

    /**
     * A step that has waited long.
     *
     * @param step the step
     * @param queue the name of the job's queue
     * @param reason why it waits
     * @param tasks the number of its waiting tasks
     * @param waitedMillis the time since this leader first sampled the step as waiting, in milliseconds
     * @param advice the outcome of the last advice call for the step, empty if none has completed
     */
    public record LongWait(
            StepId step,
            String queue,
            WaitReason reason,
            int tasks,
            long waitedMillis,
            Optional<AdviceOutcome> advice) {}
}
