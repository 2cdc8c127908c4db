package org.wasabimount.core.dispatch;

import org.wasabimount.core.job.StepId;

/** An unexpected error while a step was considered; the leader goes on without the step's job. */
public final class StepFailure extends RuntimeException {

    private static final long serialVersionUID = 1;

    private final String job;

    StepFailure(StepId step, RuntimeException cause) {
        super("step " + step + " can't be considered", cause);
        this.job = step.job();
    }

    /**
     * Returns the job of the step.
     *
     * @return the job's id
     */
    public String job() {
        return job;
    }

    /** Has a step considered; an unexpected error names it. */
    static void guard(StepId step, Runnable consideration) {
        try {
            consideration.run();
        } catch (StepFailure e) {
            throw e;
        } catch (RuntimeException e) {
            throw new StepFailure(step, e);
        }
    }
}
