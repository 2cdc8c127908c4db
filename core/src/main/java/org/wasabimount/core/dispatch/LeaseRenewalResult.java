package org.wasabimount.core.dispatch;

import java.util.List;

import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.EndKind;

/**
 * What a worker answered to a renewal of its lease.
 *
 * @param outcome what became of the call; the other parts have a meaning for {@link OrderOutcome#DONE} only
 * @param clockMillis the worker's steady clock in milliseconds
 * @param bornMillis when the life that answered began, in milliseconds since 1970; zero if it does not say
 * @param running the runs that go on
 * @param ended the ends that were not taken note of yet, oldest first
 */
public record LeaseRenewalResult(
        OrderOutcome outcome, long clockMillis, long bornMillis, List<RunProgress> running, List<RunEnd> ended) {

    /**
     * A run that goes on.
     *
     * @param run the run
     * @param saved its newest saved progress, empty if there is none
     * @param percent how far it is
     */
    public record RunProgress(RunId run, String saved, int percent) {}

    /**
     * A run that has ended.
     *
     * @param offset the number of the end in the worker's life
     * @param run the run
     * @param kind how it ended
     * @param saved its last saved progress, empty if there is none
     */
    public record RunEnd(long offset, RunId run, EndKind kind, String saved) {}

    /**
     * Makes the answer of a call that brought no list.
     *
     * @param outcome what became of the call
     * @return the answer
     */
    public static LeaseRenewalResult withoutList(OrderOutcome outcome) {
        return new LeaseRenewalResult(outcome, 0, 0, List.of(), List.of());
    }
}
