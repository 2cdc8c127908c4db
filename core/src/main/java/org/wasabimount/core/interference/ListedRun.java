package org.wasabimount.core.interference;

import org.wasabimount.core.job.RunId;

/**
 * A run in a worker's list of runs, or in its list of ends.
 *
 * @param run the run
 * @param kind the kind of the task
 * @param measure what tells how fast the task works
 * @param percent the completed share of the run, in percent
 * @param load the load figure of the run, zero if the worker listed none: for a task that serves the tail of its response
 *     times in milliseconds
 * @param startedMillis the monotonic time at which the run began without any progress, in milliseconds; negative if not
 *     known
 */
public record ListedRun(RunId run, TaskKind kind, Measure measure, int percent, int load, long startedMillis) {

    /** What tells how fast a task works. */
    public enum Measure {
        /** Its progress. */
        PROGRESS,
        /** The tail of its response times. */
        TAIL,
        /** Nothing. */
        NONE
    }
}
