package org.wasabimount.core.job;

import java.util.Collection;

import org.wasabimount.protocol.job.Step;

/**
 * Decides when a task is given up because workers crash under it.
 *
 * <p>A crash alone does not tell which of the tasks on the worker has caused it, or whether any has. A task under which
 * workers have crashed repeatedly therefore runs on a worker of its own, and is given up when that one crashes too.
 */
public final class CrashLimit {

    /** Number of workers that may have crashed because of a task from which on it runs only beside tasks of its own job. */
    private static final int ISOLATION = 2;

    /** Number of crashes after which further starts are limited, from the platform's contract. */
    static final int CRASHES = 3;

    /** Number of crashes without others, of these, that prove a cause; crashes of several workers have another one. */
    private static final int SINGLE_CRASHES = 2;

    /** Number of further starts; the contract forbids a third. */
    static final int FURTHER_STARTS = 2;

    /** Time after which a task that is to last no longer counts as the cause of a crash, in milliseconds. */
    private static final long LASTING_TASK_PROVEN_MILLIS = 60_000;

    private CrashLimit() {}

    /**
     * Returns whether the next starts of a task are limited, so that none may be spent beside tasks of other jobs.
     *
     * @param task the task
     * @return true if as many workers have crashed under it, or may have, as the contract allows without a limit
     */
    public static boolean startsLimited(JobTask task) {
        return task.suspicions() >= CRASHES;
    }

    /**
     * Returns whether workers are suspected to crash because of a task, so that it must not run beside tasks of other jobs.
     *
     * @param task the task
     * @return true if workers have crashed under it that did not crash together with others, or if its starts are limited
     */
    public static boolean suspected(JobTask task) {
        return task.singleSuspicions() >= ISOLATION || startsLimited(task);
    }

    /**
     * Returns whether a task may run only beside tasks of its own job.
     *
     * @param job the job
     * @param task one of its tasks
     * @return true if workers have crashed repeatedly under the task, or under any task of its gang
     */
    public static boolean requiresIsolation(Job job, JobTask task) {
        Step step = job.step(task.id().step());
        if (step.getLongRunning()) {
            // It would keep the worker to itself for ever.
            return false;
        }
        return step.getGang()
                ? job.tasks(task.id().occurrence(), task.id().step()).stream().anyMatch(CrashLimit::suspected)
                : suspected(task);
    }

    /**
     * Returns whether the crash of a single worker proves that one of the tasks on it has caused it: all belong to one
     * job, and workers have crashed under one of them before.
     */
    static boolean proves(Collection<JobTask> aboard) {
        return aboard.stream().map(task -> task.id().job()).distinct().count() == 1
                && aboard.stream()
                        .anyMatch(task ->
                                !task.done() && task.crashes() >= CRASHES && task.singleCrashes() >= SINGLE_CRASHES);
    }

    /**
     * Returns whether the crash of a worker counts against a task: not if the task is to last and has worked there for so
     * long that it would otherwise collect crashes over the months.
     */
    static boolean counts(Job job, JobTask task, long nowMillis) {
        boolean proven = job.step(task.id().step()).getLongRunning()
                && nowMillis - task.placedMillis() >= LASTING_TASK_PROVEN_MILLIS;
        return !task.done() && !proven;
    }

    /** Returns whether a task that is not running may not be started again. */
    static boolean exhausted(JobTask task) {
        return task.awaitsPlacement() && task.startsUsedUp();
    }
}
