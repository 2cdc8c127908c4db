package org.wasabimount.core.job;

import org.wasabimount.protocol.job.WorkerLife;

/**
 * Identifies one incarnation of a worker: the period from one start of its process to the end of that process.
 *
 * @param worker the worker's id, which a later incarnation may reuse
 * @param bornMillis when the incarnation started, in milliseconds since 1970
 */
public record IncarnationId(String worker, long bornMillis) {

    /**
     * Returns the id of an incarnation.
     *
     * @param incarnation the incarnation as announced by the worker
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
