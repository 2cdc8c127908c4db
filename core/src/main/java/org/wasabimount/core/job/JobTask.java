package org.wasabimount.core.job;

import java.util.Optional;

import org.wasabimount.protocol.job.TaskState;

/** One task of a job: the worker of its last run, and the outcome of its earlier runs. */
public final class JobTask {

    private final TaskId id;
    private boolean done;
    private int run;
    private IncarnationId incarnation;
    private int failures;
    private String saved = "";

    JobTask(TaskId id) {
        this.id = id;
    }

    /**
     * Returns the task's id.
     *
     * @return the id
     */
    public TaskId id() {
        return id;
    }

    /**
     * Returns whether a run of the task has completed successfully.
     *
     * @return true once a run has completed
     */
    public boolean done() {
        return done;
    }

    /**
     * Returns the number of the last run.
     *
     * @return the number, zero if the task was never placed
     */
    public int run() {
        return run;
    }

    /**
     * Returns the incarnation of the worker that the last run was placed on.
     *
     * @return the incarnation, empty if there was no run or the last one is known to have ended
     */
    public Optional<IncarnationId> incarnation() {
        return Optional.ofNullable(incarnation);
    }

    /**
     * Returns whether the task is waiting to be placed.
     *
     * @return true if the task is not done and none of its runs may still be executing
     */
    public boolean awaitsPlacement() {
        return !done && incarnation == null;
    }

    /**
     * Returns how many runs have failed.
     *
     * @return the count
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns the saved progress that the next run may resume from.
     *
     * @return the progress as reported by the worker, empty if there is none
     */
    public String saved() {
        return saved;
    }

    void place(int number, IncarnationId onIncarnation) {
        run = number;
        incarnation = onIncarnation;
    }

    boolean runs(int number, IncarnationId onIncarnation) {
        return run == number && onIncarnation.equals(incarnation);
    }

    void release() {
        incarnation = null;
    }

    void finish() {
        done = true;
    }

    void fail() {
        failures++;
    }

    void save(String progress) {
        if (!progress.isEmpty()) {
            saved = progress;
        }
    }

    boolean inInitialState() {
        return run == 0 && !done;
    }

    TaskState toState() {
        TaskState.Builder state = TaskState.newBuilder()
                .setTask(id.toKey())
                .setDone(done)
                .setRun(run)
                .setFailures(failures)
                .setSaved(saved);
        if (incarnation != null) {
            state.setWorker(incarnation.worker()).setBornMillis(incarnation.bornMillis());
        }
        return state.build();
    }

    void restore(TaskState state) {
        done = state.getDone();
        run = state.getRun();
        failures = state.getFailures();
        saved = state.getSaved();
        incarnation = state.getWorker().isEmpty() ? null : new IncarnationId(state.getWorker(), state.getBornMillis());
    }
}
