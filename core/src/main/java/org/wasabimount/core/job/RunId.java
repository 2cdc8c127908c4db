package org.wasabimount.core.job;

import org.wasabimount.protocol.job.RunKey;

/**
 * Names one run of a task.
 *
 * @param task the task
 * @param number the number of the run, from 1
 */
public record RunId(TaskId task, int number) {

    /**
     * Writes the id as a message.
     *
     * @param saved the newest progress of the run that is known, empty if there is none
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
