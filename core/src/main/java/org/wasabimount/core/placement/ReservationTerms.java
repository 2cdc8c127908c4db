package org.wasabimount.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.wasabimount.core.cell.DeclaredResource;

/**
 * Limits how long workers stay reserved for a job that does not start.
 *
 * <p>Run times are unknown, so the tasks that a reservation waits for may never end. After each term without a start the
 * job reserves nothing for an equally long pause, in which other work is placed, and its next term is twice as long: long
 * enough, in the end, for tasks of any length.
 */
final class ReservationTerms {

    private static final long FIRST_TERM_MILLIS = 60_000;

    private final Map<DeclaredResource, Term> lastTerms = new HashMap<>();

    private record Term(long termMillis, long pauseEndMillis) {}

    /** Returns the length of a job's next term. */
    long nextTermMillis(DeclaredResource job) {
        Term last = lastTerms.get(job);
        return last == null ? FIRST_TERM_MILLIS : 2 * last.termMillis();
    }

    /** Returns whether workers may be reserved for a job now. */
    boolean mayReserve(DeclaredResource job, long nowMillis) {
        Term last = lastTerms.get(job);
        return last == null || nowMillis >= last.pauseEndMillis();
    }

    /** Records that a term has ended without a start of the job. */
    void recordExpiry(DeclaredResource job, long nowMillis) {
        long termMillis = nextTermMillis(job);
        lastTerms.put(job, new Term(termMillis, nowMillis + termMillis));
    }

    void retainOnly(Set<DeclaredResource> waiting) {
        lastTerms.keySet().retainAll(waiting);
    }
}
