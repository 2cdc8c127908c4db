package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.List;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/**
 * A step whose dependencies are met, with its waiting tasks.
 *
 * @param job the job
 * @param queue the current definition of the job's queue, or the definition at submission if the queue no longer exists
 * @param id the step's id
 * @param waiting the waiting tasks, which may be placed
 * @param latestStartMillis the monotonic time after which the job is late
 * @param late true if the latest start time has passed
 * @param beyondShare true if the step comes after the work within the organisations' shares
 * @param isolated true if the tasks must run on workers of their own, because workers have crashed under them
 */
record ReadyStep(
        Job job,
        Queue queue,
        StepId id,
        List<JobTask> waiting,
        long latestStartMillis,
        boolean late,
        boolean beyondShare,
        boolean isolated) {

    /** Time before its latest start from which an urgent task may use reserved room, in milliseconds. */
    private static final long MAX_SLACK_MILLIS = 450;

    Step step() {
        return job.step(id.step());
    }

    Capacity size() {
        return Capacity.of(step().getSize());
    }

    boolean requiresAdvice() {
        return queue.hasAdvice();
    }

    /** Returns whether the queue has the most urgent priority. */
    boolean urgent() {
        return queue.getPriority() == 0;
    }

    boolean gang() {
        return step().getGang();
    }

    /** Returns whether room is reserved for the tasks until they can all start. */
    boolean reservesRoom() {
        return gang() || isolated;
    }

    /** Returns the number of tasks that have to start together. */
    int tasksAtOnce() {
        return gang() ? step().getCount() : waiting.size();
    }

    /**
     * Returns whether the step's tasks may use room that is reserved for gangs: they are urgent, and will be late unless
     * they start soon.
     */
    boolean mayUseReservedRoom(long nowMillis) {
        boolean urgentTasks = urgent() && !step().getLongRunning() && !isolated;
        return urgentTasks && !late && latestStartMillis - nowMillis < MAX_SLACK_MILLIS;
    }

    /** Returns the same step after its latest start time has passed. */
    ReadyStep nowLate() {
        return new ReadyStep(job, queue, id, waiting, latestStartMillis, true, beyondShare, isolated);
    }

    /** Returns the same step without tasks that no longer wait. */
    ReadyStep without(Collection<JobTask> tasks) {
        List<JobTask> remaining =
                waiting.stream().filter(task -> !tasks.contains(task)).toList();
        return new ReadyStep(job, queue, id, remaining, latestStartMillis, late, beyondShare, isolated);
    }

    /** Returns the same step with the first of its waiting tasks. */
    ReadyStep first(long count) {
        return count >= waiting.size()
                ? this
                : new ReadyStep(
                        job,
                        queue,
                        id,
                        waiting.subList(0, (int) count),
                        latestStartMillis,
                        late,
                        beyondShare,
                        isolated);
    }

    /** Returns the same step with tasks that may share their workers with others. */
    ReadyStep shared() {
        return new ReadyStep(job, queue, id, waiting, latestStartMillis, late, beyondShare, false);
    }
}
