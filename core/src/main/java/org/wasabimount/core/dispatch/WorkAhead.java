package org.wasabimount.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.wasabimount.protocol.job.Queue;

/**
 * The work of open jobs that is not placed yet, by the time at which it has to start.
 *
 * <p>Designed for hundreds of open jobs and submissions at a rate of a hundred a second: a query examines intervals of
 * time, not jobs.
 */
final class WorkAhead {

    /** Length of an interval for urgent jobs, in milliseconds; a small part of the time that they can wait. */
    private static final long URGENT_INTERVAL_MILLIS = 25;

    /** Length of an interval for all other jobs, in milliseconds. */
    private static final long INTERVAL_MILLIS = 250;

    /**
     * Time for which a core waits until the others of its gang are free, in milliseconds: about as long as the tasks take
     * that have to end first.
     */
    private static final double GATHER_MILLIS = 2_500;

    private final Intervals urgent = new Intervals(URGENT_INTERVAL_MILLIS);
    private final Intervals others = new Intervals(INTERVAL_MILLIS);
    private final Map<JobPlan, Amounts> recorded = new HashMap<>();
    private final ExaminedCounts examined;
    private Consumer<OrganisationWork> listener = change -> {};
    private long waitingWork;
    private long gangCpuMillis;

    /** What a job has open: work that is not placed, work that is not done, and cores of gangs that are not placed. */
    private record Amounts(long unplacedWork, long unfinishedWork, long gangCpuMillis) {
        private static final Amounts NONE = new Amounts(0, 0, 0);
    }

    /** A change of the work of an organisation that is not done, in thousandths of a core times milliseconds. */
    record OrganisationWork(String organisation, long added) {}

    private static final class Intervals {
        private final long lengthMillis;
        private final NavigableMap<Long, Long> work = new TreeMap<>();

        Intervals(long lengthMillis) {
            this.lengthMillis = lengthMillis;
        }

        void add(long startMillis, long added) {
            work.merge(number(startMillis), added, (one, other) -> one + other == 0 ? null : one + other);
        }

        NavigableMap<Long, Long> between(long firstMillis, long lastMillis) {
            return lastMillis < firstMillis
                    ? new TreeMap<>()
                    : work.subMap(number(firstMillis), true, number(lastMillis), true);
        }

        NavigableMap<Long, Long> from(long firstMillis) {
            return work.tailMap(number(firstMillis), true);
        }

        private long number(long millis) {
            return Math.floorDiv(millis, lengthMillis);
        }
    }

    WorkAhead(ExaminedCounts examined) {
        this.examined = examined;
    }

    /** Sets the listener for the work of organisations that is not done. */
    void setListener(Consumer<OrganisationWork> newListener) {
        listener = newListener;
    }

    /** Records the current work of a job. */
    void update(JobPlan plan) {
        record(
                plan,
                new Amounts(
                        plan.unplacedWork(),
                        plan.unfinishedWork(),
                        urgent(plan.job().queue()) ? 0 : plan.unplacedGangCpuMillis()));
    }

    /** Removes a job that has ended. */
    void remove(JobPlan plan) {
        record(plan, Amounts.NONE);
        recorded.remove(plan);
    }

    private void record(JobPlan plan, Amounts amounts) {
        Amounts previous = Optional.ofNullable(recorded.put(plan, amounts)).orElse(Amounts.NONE);
        long added = amounts.unplacedWork - previous.unplacedWork;
        waitingWork += added;
        gangCpuMillis += amounts.gangCpuMillis - previous.gangCpuMillis;
        boolean urgent = urgent(plan.job().queue());
        if (added != 0 && (urgent || !plan.beyondShare())) {
            intervals(urgent).add(latestStartMillis(plan), added);
        }
        if (amounts.unfinishedWork != previous.unfinishedWork) {
            listener.accept(
                    new OrganisationWork(plan.job().organisation(), amounts.unfinishedWork - previous.unfinishedWork));
        }
    }

    /** Returns all work that is not placed, in thousandths of a core times milliseconds. */
    long waitingWork() {
        return waitingWork;
    }

    /**
     * Returns how long a further gang waits until the room of those that wait already has come together, in milliseconds.
     *
     * @param usableCpuMillis the cores of the usable workers, in thousandths of a core
     */
    double gatherMillis(long usableCpuMillis) {
        return GATHER_MILLIS * gangCpuMillis / usableCpuMillis;
    }

    private static long latestStartMillis(JobPlan plan) {
        return plan.dueMillis(0) - plan.criticalPathMillis(0);
    }

    private static boolean urgent(Queue queue) {
        return queue.getPriority() == 0;
    }

    private Intervals intervals(boolean ofUrgentJobs) {
        return ofUrgentJobs ? urgent : others;
    }

    /**
     * Returns the work that is scheduled before a new job, in thousandths of a core times milliseconds: the urgent work if
     * the job is not urgent, and the work of its own kind that has to start earlier. Work that is late is scheduled after
     * the job, whether it is urgent or not, and so is work beyond the organisations' shares.
     *
     * @param queue the queue of the new job
     * @param nowMillis the current monotonic time, in milliseconds
     * @param latestStartMillis the time at which the new job has to start
     * @return the work ahead of the job
     */
    double before(Queue queue, long nowMillis, long latestStartMillis) {
        long work = sum(intervals(urgent(queue)).between(nowMillis, latestStartMillis));
        return urgent(queue) ? work : work + sum(urgent.from(nowMillis));
    }

    private long sum(NavigableMap<Long, Long> intervals) {
        examined.add(ExaminedCounts.Part.ADMIT, 1 + intervals.size());
        return intervals.values().stream().mapToLong(Long::longValue).sum();
    }
}
