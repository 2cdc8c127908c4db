package org.wasabimount.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.wasabimount.protocol.cell.TaskReport;

/** Changes the states of tasks in response to worker reports and operator requests. */
final class TaskTransitions {

    private static final long FIRST_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 60_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 7;

    /** Time without a crash after which a task is no longer suspected; ten times the longest delay. */
    private static final long CRASH_PAUSE_MILLIS = 10 * MAX_BACKOFF_MILLIS;

    /**
     * Number of crashes after which a task that should end is given up. Tasks beside the one that has caused a crash are
     * rarely beside it again, as they start with different delays.
     */
    private static final int MAX_CRASHES = 5;

    private final Consumer<DeclaredResource> changeListener;
    private final Set<DeclaredResource> removable = new LinkedHashSet<>();

    TaskTransitions(Consumer<DeclaredResource> changeListener) {
        this.changeListener = changeListener;
    }

    void markRemovable(DeclaredResource resource) {
        removable.add(resource);
    }

    List<DeclaredResource> takeRemovable() {
        List<DeclaredResource> taken = new ArrayList<>(removable);
        removable.clear();
        return taken;
    }

    /** Applies a worker's report, unless it refers to a binding other than the task's current one. */
    void report(Task task, TaskReport report, long nowMillis) {
        boolean currentBinding = task.state().holdsCapacity()
                && task.epoch() == report.getEpoch()
                && task.worker().id().name().equals(report.getWorker());
        if (!currentBinding) {
            return;
        }
        switch (TaskState.of(report.getPhase())) {
            case RUNNING -> handleStarted(task);
            case SUCCEEDED -> handleSucceeded(task, nowMillis);
            case FAILED -> handleFailed(task, nowMillis);
            case STOPPED -> handleStopped(task, nowMillis);
            default -> {
                return;
            }
        }
        changeListener.accept(task.owner());
    }

    /** Stops a batch task to free its capacity for more urgent work; the task is pending again once it has stopped. */
    void preempt(Task task, long epoch) {
        boolean preemptible = task.owner().kind() == WorkKind.BATCH
                && task.epoch() == epoch
                && task.state().holdsCapacity()
                && task.state() != TaskState.STOPPING;
        if (preemptible) {
            task.changeState(TaskState.STOPPING);
            changeListener.accept(task.owner());
        }
    }

    void stopAll(DeclaredResource resource) {
        resource.tasks().forEach(this::stop);
    }

    void stopSurplus(DeclaredResource resource) {
        resource.tasks().stream().filter(resource::isSurplus).forEach(this::stop);
    }

    /** Releases every task of a worker that certainly no longer runs any of them. */
    void releaseAll(Worker worker, long nowMillis) {
        release(List.copyOf(worker.tasks()), nowMillis);
    }

    /** Releases the tasks of an incarnation that has ended without announcing it; one of them may have crashed it. */
    void releaseCrashed(Worker worker, long nowMillis) {
        handleCrashes(worker.tasks(), true, nowMillis);
    }

    private void handleCrashes(Collection<Task> tasks, boolean certain, long nowMillis) {
        List.copyOf(tasks).forEach(task -> {
            handleCrash(task, certain, nowMillis);
            changeListener.accept(task.owner());
        });
    }

    /** Releases a task whose worker has crashed, or is silent and may have. */
    private void handleCrash(Task task, boolean certain, long nowMillis) {
        DeclaredResource resource = task.owner();
        if (task.state() == TaskState.STOPPING) {
            handleStopped(task, nowMillis);
            return;
        }
        task.recordCrash(nowMillis, CRASH_PAUSE_MILLIS);
        if (certain && !resource.kind().runsForever() && task.crashes() >= MAX_CRASHES) {
            giveUp(task, nowMillis);
        } else {
            handleStopped(task, nowMillis);
            if (task.state() == TaskState.PENDING) {
                // The first restart is not delayed: most crashes are not the task's doing.
                task.delay(nowMillis + (task.crashes() == 1 ? 0 : backoffMillis(task.crashes() - 1)));
            }
        }
    }

    private void giveUp(Task task, long nowMillis) {
        if (task.owner().kind().allAtOnce()) {
            task.owner().markBroken(task.crashes() + " workers crashed under task " + task.id());
            handleStopped(task, nowMillis);
            task.owner().tasks().stream()
                    .filter(other -> other.state().holdsCapacity())
                    .forEach(this::stop);
        } else {
            task.release(TaskState.FAILED);
        }
    }

    /** Releases the tasks that a worker stops by itself when its lease expires. */
    void releaseExpired(Worker worker, long nowMillis) {
        List<Task> expired = worker.tasks().stream()
                .filter(task -> !task.owner().keptThroughPartition())
                .toList();
        handleCrashes(expired, false, nowMillis);
    }

    private void release(List<Task> tasks, long nowMillis) {
        tasks.forEach(task -> {
            handleStopped(task, nowMillis);
            changeListener.accept(task.owner());
        });
    }

    private void stop(Task task) {
        if (task.state() == TaskState.PENDING) {
            task.release(TaskState.STOPPED);
        } else if (task.state().holdsCapacity()) {
            task.changeState(TaskState.STOPPING);
        }
    }

    private void handleStarted(Task task) {
        if (task.state() == TaskState.BOUND) {
            task.changeState(TaskState.RUNNING);
        }
    }

    private void handleSucceeded(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        task.worker().recordSuccess();
        resource.recordSuccess();
        if (resource.kind().runsForever() || task.state() == TaskState.STOPPING) {
            handleStopped(task, nowMillis);
        } else {
            task.release(TaskState.SUCCEEDED);
        }
    }

    private void handleFailed(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        if (task.state() == TaskState.STOPPING) {
            handleStopped(task, nowMillis);
            return;
        }
        task.incrementFailures();
        resource.recordFailure(task.worker());
        task.worker().recordFailure(resource, nowMillis);
        if (resource.kind().allAtOnce()) {
            restartAllTasks(task, nowMillis, true);
        } else if (resource.kind().runsForever()
                || task.failures() < resource.spec().getMaxAttempts()) {
            task.returnToPending(nowMillis, backoffMillis(task.failures()));
        } else {
            task.release(TaskState.FAILED);
        }
    }

    /** Handles a task that its worker no longer runs, for a reason that is not a failure of the task. */
    private void handleStopped(Task task, long nowMillis) {
        DeclaredResource resource = task.owner();
        if (resource.deleting() || resource.isSurplus(task)) {
            task.release(TaskState.STOPPED);
        } else if (resource.broken()) {
            task.release(TaskState.FAILED);
        } else if (resource.kind().allAtOnce()) {
            restartAllTasks(task, nowMillis, false);
        } else {
            task.returnToPending(nowMillis, 0);
        }
    }

    private void restartAllTasks(Task endedTask, long nowMillis, boolean jobAtFault) {
        DeclaredResource job = endedTask.owner();
        if (!job.restarting()) {
            beginRestart(job, nowMillis, jobAtFault);
        }
        if (job.broken()) {
            endedTask.release(TaskState.FAILED);
        } else {
            endedTask.returnToPending(nowMillis, backoffMillis(job.attempts()));
        }
        boolean noTaskHoldsCapacity =
                job.tasks().stream().noneMatch(task -> task.state().holdsCapacity());
        if (noTaskHoldsCapacity) {
            job.finishRestart();
        }
    }

    private void beginRestart(DeclaredResource job, long nowMillis, boolean jobAtFault) {
        if (jobAtFault) {
            job.beginRestartAfterFailure();
        } else {
            job.beginRestartAfterInterruption();
        }
        if (job.attempts() >= job.spec().getMaxAttempts()) {
            job.markBroken("the job failed " + job.attempts() + " times");
        }
        job.tasks().stream().filter(task -> task.state().holdsCapacity()).forEach(this::stop);
        job.tasks().stream()
                .filter(task -> task.state() == TaskState.SUCCEEDED)
                .forEach(task -> task.returnToPending(nowMillis, 0));
    }

    private static long backoffMillis(int failures) {
        long delay = FIRST_BACKOFF_MILLIS << Math.min(Math.max(0, failures - 1), MAX_BACKOFF_DOUBLINGS);
        return Math.min(delay, MAX_BACKOFF_MILLIS);
    }
}
