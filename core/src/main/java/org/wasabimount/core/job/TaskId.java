package org.wasabimount.core.job;

import org.wasabimount.protocol.job.TaskKey;

/**
 * Identifies one task of a job.
 *
 * @param job the job's id
 * @param occurrence the number of the occurrence, zero for a job that runs once
 * @param step the number of the step
 * @param index the number of the task in its step
 */
public record TaskId(String job, int occurrence, int step, int index) {

    /**
     * Converts a protocol message to the id.
     *
     * @param key the message
     * @return the id
     */
    public static TaskId of(TaskKey key) {
        return new TaskId(key.getJob(), key.getOccurrence(), key.getStep(), key.getIndex());
    }

    /**
     * Converts the id to its protocol message.
     *
     * @return the message
     */
    public TaskKey toKey() {
        return TaskKey.newBuilder()
                .setJob(job)
                .setOccurrence(occurrence)
                .setStep(step)
                .setIndex(index)
                .build();
    }

    /**
     * Returns the id of the step that the task belongs to.
     *
     * @return the step's id
     */
    public StepId stepId() {
        return new StepId(job, occurrence, step);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
