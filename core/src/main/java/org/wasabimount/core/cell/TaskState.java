package org.wasabimount.core.cell;

import org.wasabimount.protocol.cell.TaskPhase;

/** The states of a task, each with whether it holds capacity on the worker that the task is bound to. */
public enum TaskState {
    /** Waits for a worker. */
    PENDING(TaskPhase.PENDING, false, false),
    /** Bound to a worker that has not yet reported it as running. */
    BOUND(TaskPhase.BOUND, true, false),
    /** Runs on its worker. */
    RUNNING(TaskPhase.RUNNING, true, false),
    /** Ordered to stop; its worker has not yet reported that it stopped. */
    STOPPING(TaskPhase.STOPPING, true, false),
    /** Ended successfully. */
    SUCCEEDED(TaskPhase.SUCCEEDED, false, true),
    /** Failed and is not retried. */
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
     * Returns whether capacity of the worker is committed to the task.
     *
     * @return true from the binding until the worker certainly no longer runs the task
     */
    public boolean holdsCapacity() {
        return holdsCapacity;
    }

    /**
     * Returns whether the task will not run again.
     *
     * @return true for a final state
     */
    public boolean ended() {
        return ended;
    }
}
