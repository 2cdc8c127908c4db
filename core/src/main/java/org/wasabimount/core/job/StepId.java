package org.wasabimount.core.job;

/**
 * Identifies one step of one occurrence of a job.
 *
 * @param job the job's id
 * @param occurrence the number of the occurrence, zero for a job that runs once
 * @param step the number of the step
 */
public record StepId(String job, int occurrence, int step) {

    /**
     * Returns the id of a task of the step.
     *
     * @param index the number of the task in the step
     * @return the task's id
     */
    public TaskId task(int index) {
        return new TaskId(job, occurrence, step, index);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step;
    }
}
