package org.wasabimount.core.job;

import org.wasabimount.protocol.job.RunKey;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param number the number of the run, starting at 1
 */
public record RunId(TaskId task, int number) {

    /**
     * Converts the id to its protocol message.
     *
     * @param saved the latest known progress of the run, empty if there is none
     * @return the message
     */
    public RunKey toKey(String saved) {
        return RunKey.newBuilder()
                .setTask(task.toKey())
                .setRun(number)
                .setSaved(saved)
                .build();
    }

    @Override
    public String toString() {
        return task + "/" + number;
    }
}
