package org.wasabimount.core.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The refused jobs whose clients were told when to return.
 *
 * <p>Designed for bursts in which hundreds of jobs are refused within seconds: each client is told to return when the work
 * ahead and that of the returns promised before is done, so that they don't meet again. The number of promises is bounded;
 * a client whose promise was dropped is treated as a newcomer.
 */
final class PromisedReturns {

    /** Maximum number of promises: more jobs than all clients send within the longest retry time. */
    private static final int MAX_PROMISES = 4_096;

    /** Time after which a client that has not returned is no longer expected, in milliseconds: it may have given up. */
    private static final long EXPIRY_MILLIS = 1_500;

    private final Map<String, Promise> byJob = new HashMap<>();
    private final TreeSet<Promise> earliestFirst =
            new TreeSet<>(Comparator.comparingLong(Promise::dueMillis).thenComparing(Promise::job));
    private double work;
    private double workInTime;

    /**
     * A refused job.
     *
     * @param job the job's id
     * @param owed whether the job lies within the rate that its organisation is owed
     * @param firstMillis when the job was first submitted, as monotonic time in milliseconds
     * @param refusals how often it has been refused
     * @param dueMillis when the client was told to return, as monotonic time in milliseconds
     * @param work the work of the job, in thousandths of a core times milliseconds
     * @param inTime whether the job can still be in time when it returns
     */
    record Promise(
            String job, boolean owed, long firstMillis, int refusals, long dueMillis, double work, boolean inTime) {

        private double workInTime() {
            return owed && inTime ? work : 0;
        }
    }

    void add(Promise promise) {
        take(promise.job());
        if (byJob.size() >= MAX_PROMISES) {
            take(earliestFirst.first().job());
        }
        byJob.put(promise.job(), promise);
        earliestFirst.add(promise);
        work += promise.work();
        workInTime += promise.workInTime();
    }

    Optional<Promise> of(String job) {
        return Optional.ofNullable(byJob.get(job));
    }

    /** Removes the promise of a job, because it has been submitted again. */
    Optional<Promise> take(String job) {
        Promise promise = byJob.remove(job);
        if (promise != null) {
            earliestFirst.remove(promise);
            work = byJob.isEmpty() ? 0 : work - promise.work();
            workInTime = byJob.isEmpty() ? 0 : workInTime - promise.workInTime();
        }
        return Optional.ofNullable(promise);
    }

    /** Returns the work of the jobs that are expected to return, in thousandths of a core times milliseconds. */
    double work(long nowMillis) {
        expire(nowMillis);
        return work;
    }

    /** As {@link #work}, of the owed jobs that can still be in time. */
    double workInTime(long nowMillis) {
        expire(nowMillis);
        return workInTime;
    }

    private void expire(long nowMillis) {
        while (!earliestFirst.isEmpty() && earliestFirst.first().dueMillis() + EXPIRY_MILLIS < nowMillis) {
            take(earliestFirst.first().job());
        }
    }
}
