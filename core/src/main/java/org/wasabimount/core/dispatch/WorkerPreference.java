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

    /** Returns whether some workers are known to be worse for a step, so that more of them are worth comparing. */
    default boolean distinguishes(ReadyStep step) {
        return false;
    }

    /** Returns a preference that multiplies this slowdown by another one. */
    default WorkerPreference and(WorkerPreference other) {
        WorkerPreference first = this;
        return new WorkerPreference() {
            @Override
            public double slowdown(ReadyStep step, TrackedWorker worker) {
                return first.slowdown(step, worker) * other.slowdown(step, worker);
            }

            @Override
            public boolean distinguishes(ReadyStep step) {
                return first.distinguishes(step) || other.distinguishes(step);
            }
        };
    }
}
