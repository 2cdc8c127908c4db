package org.wasabimount.core.interference;

import org.wasabimount.protocol.job.Step;

/**
 * A kind of tasks that are expected to behave alike: tasks of one image, or else tasks of one queue and size class.
 *
 * @param name the name, as shown to operators
 */
public record TaskKind(String name) {

    /**
     * Returns the kind of a step's tasks.
     *
     * @param queue the name of the queue to which the job was submitted
     * @param step the step
     * @return the image if there is one, else the queue with the tasks' processors, in thousandths of a core, rounded down
     *     to a power of two
     */
    public static TaskKind of(String queue, Step step) {
        return new TaskKind(
                step.getImage().isEmpty()
                        ? queue + "/" + Long.highestOneBit(step.getSize().getCpuMillis())
                        : "image:" + step.getImage());
    }

    @Override
    public String toString() {
        return name;
    }
}
