package org.wasabimount.core.job;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.wasabimount.protocol.job.TaskState;

/** One task of a job: the worker of its last run, and the outcome of its earlier runs. */
public final class JobTask {

    private final TaskId id;
    private boolean done;
    private int run;
    private IncarnationId incarnation;
    private int failures;

    /** The runs that have failed, of those in {@link #failures} that are known by their run. */
    private Set<Integer> failedRuns = Set.of();

    private int crashes;
    private int singleCrashes;
    private int silentWorkers;
    private int limitedStarts;
    private long placedMillis;
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

    Stream<Integer> failedRuns() {
        return failedRuns.stream();
    }

    /** Returns how many failures are known by their number only, because an earlier build has recorded them. */
    int failuresCountedByEnd() {
        return failures - failedRuns.size();
    }

    /**
     * Returns how many workers have crashed with the task.
     *
     * @return the number of incarnations that ended by a crash while a run of the task was placed on them
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Returns how many workers have crashed with the task or may have.
     *
     * @return the crashes, and the incarnations that fell silent with a run of the task and have not responded since
     */
    public int suspicions() {
        return crashes + silentWorkers;
    }

    /**
     * Returns the saved progress that the next run may resume from.
     *
     * @return the progress as reported by the worker, empty if there is none
     */
    public String saved() {
        return saved;
    }

    void place(int number, IncarnationId onIncarnation, long nowMillis) {
        placedMillis = nowMillis;
        run = number;
        incarnation = onIncarnation;
        if (CrashLimit.startsLimited(this)) {
            limitedStarts++;
        }
    }

    /** Reverts the count of a placement whose start never reached the worker or was refused. */
    void neverStarted() {
        limitedStarts = Math.max(0, limitedStarts - 1);
    }

    /** Returns whether the task may not be started again. */
    boolean startsUsedUp() {
        return limitedStarts >= CrashLimit.FURTHER_STARTS;
    }

    /** Returns when the last run was placed, as wall-clock time in milliseconds since 1970. */
    long placedMillis() {
        return placedMillis;
    }

    /** Ends all suspicions that earlier crashes have raised. */
    void cleared() {
        crashes = 0;
        singleCrashes = 0;
        limitedStarts = 0;
    }

    /** Records the crash of a worker with the task, alone or together with other workers. */
    void crashed(boolean singleWorker) {
        crashes++;
        singleCrashes += singleWorker ? 1 : 0;
    }

    int singleCrashes() {
        return singleCrashes;
    }

    /**
     * Returns how many workers may have crashed because of the task: those that crashed alone, or are silent. When workers
     * without a common job crash together, that has another cause.
     */
    int singleSuspicions() {
        return singleCrashes + silentWorkers;
    }

    /** Records that a worker fell silent with a run of the task. */
    void workerSilent() {
        silentWorkers++;
    }

    /** Records that it has become known what happened to such a worker. */
    void silenceExplained() {
        silentWorkers--;
        if (!CrashLimit.startsLimited(this)) {
            limitedStarts = 0;
        }
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

    /** Counts a failure for itself. */
    void fail() {
        failures++;
    }

    /** Counts the failure of a run, once. */
    void fail(int number) {
        if (!failedRuns.contains(number)) {
            failures++;
            failedRuns = new TreeSet<>(failedRuns);
            failedRuns.add(number);
        }
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
                .addAllFailedRuns(failedRuns)
                .setCrashes(crashes)
                .setSingleCrashes(singleCrashes)
                .setLimitedStarts(limitedStarts)
                .setPlacedMillis(placedMillis)
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
        failedRuns = state.getFailedRunsCount() == 0 ? Set.of() : new TreeSet<>(state.getFailedRunsList());
        crashes = state.getCrashes();
        singleCrashes = state.getSingleCrashes();
        limitedStarts = state.getLimitedStarts();
        placedMillis = state.getPlacedMillis();
        saved = state.getSaved();
        incarnation = state.getWorker().isEmpty() ? null : new IncarnationId(state.getWorker(), state.getBornMillis());
    }
}
