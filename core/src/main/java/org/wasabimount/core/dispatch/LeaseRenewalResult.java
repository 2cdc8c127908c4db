package org.wasabimount.core.dispatch;

import java.util.List;

import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.EndKind;

/**
 * A worker's response to a lease renewal.
 *
 * @param outcome the outcome of the call; the other components are meaningful only for {@link OrderOutcome#DONE}
 * @param clockMillis the worker's monotonic clock, in milliseconds
 * @param bornMillis the start time of the incarnation that responded, in milliseconds since 1970; zero if the response
 *     does not carry it
 * @param running the active runs
 * @param ended the run ends that are not acknowledged yet, oldest first
 */
public record LeaseRenewalResult(
        OrderOutcome outcome, long clockMillis, long bornMillis, List<RunProgress> running, List<RunEnd> ended) {

    /**
     * An active run and its progress.
     *
     * @param run the run
     * @param saved the latest saved progress, empty if there is none
     * @param percent the completed share of the run, in percent
     * @param load a rough figure for the last half second, zero if there is none: for a task that serves the tail of its
     *     response times in milliseconds, for any other the processors in use in thousandths of a core
     */
    public record RunProgress(RunId run, String saved, int percent, int load) {

        /**
         * Creates the progress of a run without a load figure.
         *
         * @param run the run
         * @param saved the latest saved progress, empty if there is none
         * @param percent the completed share of the run, in percent
         */
        public RunProgress(RunId run, String saved, int percent) {
            this(run, saved, percent, 0);
        }
    }

    /**
     * The end of a run.
     *
     * @param offset the sequence number of the end within the worker's incarnation
     * @param run the run
     * @param kind the way in which the run ended
     * @param saved the last saved progress, empty if there is none
     */
    public record RunEnd(long offset, RunId run, EndKind kind, String saved) {}

    /**
     * Creates the result of a call that returned no list of runs.
     *
     * @param outcome the outcome of the call
     * @return the result, with no runs and no ends
     */
    public static LeaseRenewalResult withoutList(OrderOutcome outcome) {
        return new LeaseRenewalResult(outcome, 0, 0, List.of(), List.of());
    }
}
