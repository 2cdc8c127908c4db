package org.wasabimount.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.wasabimount.protocol.cell.TaskReport;

/** Moves tasks from state to state as workers report and operators ask. */
final class TaskTransitions {

    private static final long FIRST_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 60_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 7;

    private final Consumer<DeclaredResource> changed;
    private final Set<DeclaredResource> removable = new LinkedHashSet<>();

    TaskTransitions(Consumer<DeclaredResource> changed) {
        this.changed = changed;
    }

    void noteRemovable(DeclaredResource resource) {
        removable.add(resource);
    }

    List<DeclaredResource> takeRemovable() {
        List<DeclaredResource> taken = new ArrayList<>(removable);
        removable.clear();
        return taken;
    }

    /** Takes a worker's report, unless it speaks of another binding than the current one. */
    void report(Task task, TaskReport report, long nowMillis) {
        boolean current = task.state().holdsCapacity()
                && task.epoch() == report.getEpoch()
                && task.worker().id().name().equals(report.getWorker());
        if (!current) {
            return;
        }
        switch (TaskState.of(report.getPhase())) {
            case RUNNING -> started(task);
            case SUCCEEDED -> succeeded(task, nowMillis);
            case FAILED -> failed(task, nowMillis);
            case STOPPED -> stopped(task, nowMillis);
            default -> {
                return;
            }
        }
        changed.accept(task.owner());
    }

    /** Stops a batch task so that its room can be used by more urgent work; it waits again once it has stopped. */
    void preempt(Task task, long epoch) {
        boolean preemptible = task.owner().kind() == WorkKind.BATCH
                && task.epoch() == epoch
                && task.state().holdsCapacity()
                && task.state() != TaskState.STOPPING;
        if (preemptible) {
            task.move(TaskState.STOPPING);
            changed.accept(task.owner());
        }
    }

    void stopAll(DeclaredResource resource) {
        resource.tasks().forEach(this::stop);
    }

    void stopSurplus(DeclaredResource resource) {
        resource.tasks().stream().filter(resource::surplus).forEach(this::stop);
    }

    /** Releases every task of a worker whose former tasks are certainly gone. */
    void releaseAll(Worker worker, long nowMillis) {
        release(List.copyOf(worker.tasks()), nowMillis);
    }

    /** Releases the tasks that a worker stops by itself when its lease ends. */
    void releaseLapsed(Worker worker, long nowMillis) {
        List<Task> lapsed = worker.tasks().stream()
                .filter(task -> !task.owner().keptThroughPartition())
                .toList();
        release(lapsed, nowMillis);
    }

    private void release(List<Task> tasks, long nowMillis) {
        tasks.forEach(task -> {
            stopped(task, nowMillis);
            changed.accept(task.owner());
        });
    }

    private void stop(Task task) {
        if (task.state() == TaskState.PENDING) {
            task.release(TaskState.STOPPED);
        } else if (task.state().holdsCapacity()) {
            task.move(TaskState.STOPPING);
        }
    }

    private void started(Task task) {
        if (task.state() == TaskState.BOUND) {
            task.move(TaskState.RUNNING);
        }
    }

    private void succeeded(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        task.worker().noteSuccess();
        resource.noteSuccess();
        if (resource.kind().runsForever() || task.state() == TaskState.STOPPING) {
            stopped(task, nowMillis);
        } else {
            task.release(TaskState.SUCCEEDED);
        }
    }

    private void failed(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        if (task.state() == TaskState.STOPPING) {
            stopped(task, nowMillis);
            return;
        }
        task.fail();
        resource.noteFailure(task.worker());
        task.worker().noteFailure(resource, nowMillis);
        if (resource.kind().allAtOnce()) {
            restartTogether(task, nowMillis, true);
        } else if (resource.kind().runsForever()
                || task.failures() < resource.spec().getMaxAttempts()) {
            task.pend(nowMillis, backoffMillis(task.failures()));
        } else {
            task.release(TaskState.FAILED);
        }
    }

    /** Handles a task that its worker no longer runs, for a reason that is not the task's own. */
    private void stopped(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        if (resource.deleting() || resource.surplus(task)) {
            task.release(TaskState.STOPPED);
        } else if (resource.broken()) {
            task.release(TaskState.FAILED);
        } else if (resource.kind().allAtOnce()) {
            restartTogether(task, nowMillis, false);
        } else {
            task.pend(nowMillis, 0);
        }
    }

    private void restartTogether(Task ended, long nowMillis, boolean blamed) {
        DeclaredResource job = ended.owner();
        if (!job.restarting()) {
            beginRestart(job, nowMillis, blamed);
        }
        if (job.broken()) {
            ended.release(TaskState.FAILED);
        } else {
            ended.pend(nowMillis, backoffMillis(job.attempts()));
        }
        boolean quiet = job.tasks().stream().noneMatch(task -> task.state().holdsCapacity());
        if (quiet) {
            job.restarted();
        }
    }

    private void beginRestart(DeclaredResource job, long nowMillis, boolean blamed) {
        if (blamed) {
            job.restart();
        } else {
            job.interrupt();
        }
        if (job.attempts() >= job.spec().getMaxAttempts()) {
            job.breakWith("the job failed " + job.attempts() + " times");
        }
        job.tasks().stream().filter(task -> task.state().holdsCapacity()).forEach(this::stop);
        job.tasks().stream()
                .filter(task -> task.state() == TaskState.SUCCEEDED)
                .forEach(task -> task.pend(nowMillis, 0));
    }

    private static long backoffMillis(int failures) {
        long delay = FIRST_BACKOFF_MILLIS << Math.min(Math.max(0, failures - 1), MAX_BACKOFF_DOUBLINGS);
        return Math.min(delay, MAX_BACKOFF_MILLIS);
    }
}
