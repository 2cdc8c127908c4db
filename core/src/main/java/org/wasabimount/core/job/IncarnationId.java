package org.wasabimount.core.job;

import org.wasabimount.protocol.job.WorkerLife;

/**
 * Names one life of a worker, from one start to its end.
 *
 * @param worker the worker's id, which a later life may have again
 * @param bornMillis when the life began, in milliseconds since 1970
 */
public record IncarnationId(String worker, long bornMillis) {

    /**
     * Returns the id of a life.
     *
     * @param incarnation the life
     * @return its id
     */
    public static IncarnationId of(WorkerLife incarnation) {
        return new IncarnationId(incarnation.getWorker(), incarnation.getBornMillis());
    }

    @Override
    public String toString() {
        return worker + "@" + bornMillis;
    }
}
