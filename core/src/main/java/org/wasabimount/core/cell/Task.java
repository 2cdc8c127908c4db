package org.wasabimount.core.cell;

import org.wasabimount.protocol.cell.TaskStatus;

/** One task of a declared resource. */
public final class Task {

    private final DeclaredResource owner;
    private final int index;
    private final String id;
    private TaskState state = TaskState.PENDING;
    private Worker worker;
    private long epoch;
    private int failures;
    private int crashes;
    private long lastCrashMillis;
    private long pendingSinceMillis;
    private long notBeforeMillis;

    Task(DeclaredResource owner, int index, long nowMillis) {
        this.owner = owner;
        this.index = index;
        this.id = owner.id() + "/" + index;
        this.pendingSinceMillis = nowMillis;
    }

    /**
     * Returns the task's id: that of its resource, a slash and its index.
     *
     * @return the id, unique in the cell
     */
    public String id() {
        return id;
    }

    /**
     * Returns the resource that the task belongs to.
     *
     * @return the resource
     */
    public DeclaredResource owner() {
        return owner;
    }

    /**
     * Returns the task's state.
     *
     * @return the state
     */
    public TaskState state() {
        return state;
    }

    /**
     * Returns the worker that the task is bound to.
     *
     * @return the worker, or null if the task is bound to none
     */
    public Worker worker() {
        return worker;
    }

    /**
     * Returns the number of the task's last binding, unique in the cell.
     *
     * @return the epoch, zero before the first binding
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns how many times the task has failed.
     *
     * @return the count
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns the time at which the task last became pending.
     *
     * @return wall time in milliseconds
     */
    public long pendingSinceMillis() {
        return pendingSinceMillis;
    }

    /**
     * Returns the earliest time of the next start.
     *
     * @return wall time in milliseconds
     */
    public long notBeforeMillis() {
        return notBeforeMillis;
    }

    int index() {
        return index;
    }

    void bind(Worker target, long newEpoch) {
        worker = target;
        epoch = newEpoch;
        changeState(TaskState.BOUND);
        target.add(this);
    }

    void changeState(TaskState next) {
        if (worker != null) {
            worker.taskStateChanged(state, next);
        }
        owner.count(state, -1);
        state = next;
        owner.count(state, 1);
    }

    /** Releases the capacity held on the worker and enters a state that holds none. */
    void release(TaskState next) {
        changeState(next);
        if (worker != null) {
            worker.remove(this);
            worker = null;
        }
    }

    void returnToPending(long nowMillis, long delayMillis) {
        release(TaskState.PENDING);
        pendingSinceMillis = nowMillis;
        notBeforeMillis = nowMillis + delayMillis;
    }

    /** Delays the next start, if it is not due later anyway. */
    void delay(long untilMillis) {
        notBeforeMillis = Math.max(notBeforeMillis, untilMillis);
    }

    void incrementFailures() {
        failures++;
    }

    /** Returns how many workers have crashed with the task, without a longer pause between two crashes. */
    int crashes() {
        return crashes;
    }

    /** Records that a worker has crashed with the task; crashes that are long past have had another cause. */
    void recordCrash(long nowMillis, long pauseMillis) {
        crashes = nowMillis - lastCrashMillis > pauseMillis ? 1 : crashes + 1;
        lastCrashMillis = nowMillis;
    }

    TaskStatus toStatus() {
        return TaskStatus.newBuilder()
                .setTask(id)
                .setPhase(state.phase())
                .setWorker(worker == null ? "" : worker.id().name())
                .setEpoch(epoch)
                .setFailures(failures)
                .setPendingSinceMillis(pendingSinceMillis)
                .setNotBeforeMillis(notBeforeMillis)
                .setCrashes(crashes)
                .setLastCrashMillis(lastCrashMillis)
                .build();
    }

    void restore(TaskStatus status, Worker restoredWorker) {
        epoch = status.getEpoch();
        failures = status.getFailures();
        crashes = status.getCrashes();
        lastCrashMillis = status.getLastCrashMillis();
        pendingSinceMillis = status.getPendingSinceMillis();
        notBeforeMillis = status.getNotBeforeMillis();
        worker = restoredWorker;
        changeState(TaskState.of(status.getPhase()));
        if (worker != null) {
            worker.add(this);
        }
    }
}
