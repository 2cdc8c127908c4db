package org.wasabimount.core.cell;

import org.wasabimount.protocol.cell.TaskPhase;

/** The states of a task, with what each means for the worker that it is bound to. */
public enum TaskState {
    /** Waits for a worker. */
    PENDING(TaskPhase.PENDING, false, false),
    /** Has a worker that has not yet said that it runs. */
    BOUND(TaskPhase.BOUND, true, false),
    /** Runs on its worker. */
    RUNNING(TaskPhase.RUNNING, true, false),
    /** Was told to stop; its worker has not yet said that it did. */
    STOPPING(TaskPhase.STOPPING, true, false),
    /** Ended well. */
    SUCCEEDED(TaskPhase.SUCCEEDED, false, true),
    /** Ended badly and is not tried again. */
    FAILED(TaskPhase.FAILED, false, true),
    /** Was stopped on request. */
    STOPPED(TaskPhase.STOPPED, false, true);

    private final TaskPhase phase;
    private final boolean holdsCapacity;
    private final boolean ended;

    TaskState(TaskPhase phase, boolean holdsCapacity, boolean ended) {
        this.phase = phase;
        this.holdsCapacity = holdsCapacity;
        this.ended = ended;
    }

    /**
     * Returns the state for a message's phase.
     *
     * @param phase the phase
     * @return the state
     */
    public static TaskState of(TaskPhase phase) {
        return valueOf(phase.name());
    }

    /**
     * Returns the phase used in messages.
     *
     * @return the phase
     */
    public TaskPhase phase() {
        return phase;
    }

    /**
     * Tells whether the worker's capacity is committed to the task.
     *
     * @return true from binding until the worker is certainly rid of the task
     */
    public boolean holdsCapacity() {
        return holdsCapacity;
    }

    /**
     * Tells whether the task will not run again.
     *
     * @return true for an end state
     */
    public boolean ended() {
        return ended;
    }
}
