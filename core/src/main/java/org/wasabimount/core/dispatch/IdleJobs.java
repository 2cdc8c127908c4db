package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;

/**
 * Tracks since when open jobs have been idle: a step is ready, and no run is placed.
 *
 * <p>The cost of an event does not depend on the number of open jobs.
 */
final class IdleJobs {

    private final Map<String, OpenJob> jobs = new HashMap<>();

    /** The idle jobs, longest idle first. */
    private final Map<String, OpenJob> idle = new LinkedHashMap<>();

    /** An open job, by its placed runs and its ready steps. */
    static final class OpenJob {
        private final Job job;
        private final Set<TaskId> placed = new HashSet<>();
        private final Set<StepId> ready = new LinkedHashSet<>();
        private long idleSinceMillis;
        private long reportedMillis = Long.MIN_VALUE;

        OpenJob(Job job) {
            this.job = job;
        }

        Job job() {
            return job;
        }

        /** Returns the steps that are due, whose dependencies are met and that have tasks that are not placed. */
        Collection<StepId> readySteps() {
            return ready;
        }

        long idleSinceMillis() {
            return idleSinceMillis;
        }

        /** Returns when the job was last reported, {@link Long#MIN_VALUE} if it was not since it has become idle. */
        long reportedMillis() {
            return reportedMillis;
        }

        void reported(long nowMillis) {
            reportedMillis = nowMillis;
        }
    }

    /** Records that a job has been accepted, or is open when the leader takes over. */
    void opened(Job job) {
        OpenJob open = new OpenJob(job);
        job.tasks()
                .filter(task -> task.incarnation().isPresent())
                .map(JobTask::id)
                .forEach(open.placed::add);
        jobs.put(job.id(), open);
    }

    void ended(String job) {
        jobs.remove(job);
        idle.remove(job);
    }

    void placed(TaskId task, long nowMillis) {
        OpenJob open = jobs.get(task.job());
        if (open != null && open.placed.add(task)) {
            update(open, nowMillis);
        }
    }

    void released(TaskId task, long nowMillis) {
        OpenJob open = jobs.get(task.job());
        if (open != null && open.placed.remove(task)) {
            update(open, nowMillis);
        }
    }

    /** Records whether a step is due, its dependencies are met and it has tasks that are not placed. */
    void ready(StepId step, boolean isReady, long nowMillis) {
        OpenJob open = jobs.get(step.job());
        if (open != null && (isReady ? open.ready.add(step) : open.ready.remove(step))) {
            update(open, nowMillis);
        }
    }

    private void update(OpenJob open, long nowMillis) {
        boolean isIdle = open.placed.isEmpty() && !open.ready.isEmpty();
        if (!isIdle) {
            idle.remove(open.job.id());
        } else if (idle.putIfAbsent(open.job.id(), open) == null) {
            open.idleSinceMillis = nowMillis;
            open.reportedMillis = Long.MIN_VALUE;
        }
    }

    /** Returns the idle jobs, longest idle first. */
    Collection<OpenJob> idle() {
        return idle.values();
    }
}
