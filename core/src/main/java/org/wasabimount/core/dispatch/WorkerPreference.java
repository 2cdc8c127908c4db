package org.wasabimount.core.dispatch;

/** Tells how much longer than usual tasks of a step would take on a worker; a preference, never a condition of a start. */
@FunctionalInterface
interface WorkerPreference {

    /** Prefers no worker. */
    WorkerPreference NONE = (step, worker) -> 1.0;

    /**
     * Returns the expected slowdown of the step's tasks on a worker, with what runs there now.
     *
     * @return the factor on the usual duration, above 0; 1.0 if nothing is known
     */
    double slowdown(ReadyStep step, TrackedWorker worker);

    /** Returns a preference that multiplies this slowdown by another one. */
    default WorkerPreference and(WorkerPreference other) {
        return (step, worker) -> slowdown(step, worker) * other.slowdown(step, worker);
    }
}
