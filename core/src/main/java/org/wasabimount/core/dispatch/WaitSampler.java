package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Predicate;

import org.wasabimount.core.job.StepId;

/**
 * Samples why steps wait.
 *
 * <p>A sample examines every worker for every waiting step, so it is taken only once per interval.
 */
final class WaitSampler {

    /** Minimum time between two samples, in milliseconds. */
    private static final long SAMPLE_INTERVAL_MILLIS = 1_000;

    /** Time after which a waiting step is reported, in milliseconds: more than a round, a call and a commit take. */
    private static final long LONG_WAIT_MILLIS = 2_000;

    /** Minimum time between two reports of one step, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 10_000;

    /** Maximum number of steps that a sample examines. */
    static final int MAX_STEPS = 150;

    /** Maximum number of steps reported by one sample. */
    private static final int MAX_REPORTS = 3;

    private final WorkerManager workers;
    private final AdviceManager advice;
    private final Map<WaitReason, Long> reasons = new EnumMap<>(WaitReason.class);
    private Consumer<DispatchStatus> listener = status -> {};
    private LongFunction<IdleStatus> idleSampler = millis -> IdleStatus.NONE;
    private Map<StepId, Wait> previousWaits = Map.of();
    private Map<StepId, Wait> waits = new LinkedHashMap<>();
    private List<TrackedWorker> usable = List.of();
    private boolean sampling;
    private long nowMillis;
    private long sampleDueMillis = Long.MIN_VALUE;

    private record Wait(ReadyStep step, WaitReason reason, long sinceMillis, long reportedMillis) {}

    WaitSampler(WorkerManager workers, AdviceManager advice) {
        this.workers = workers;
        this.advice = advice;
    }

    void setListener(Consumer<DispatchStatus> newListener) {
        listener = newListener;
    }

    /** Sets what samples the idle jobs at a time, as monotonic time in milliseconds. */
    void setIdleSampler(LongFunction<IdleStatus> sampler) {
        idleSampler = sampler;
    }

    /** Returns whether a sample is due. */
    boolean due(long millis) {
        return millis >= sampleDueMillis;
    }

    /** Begins a sample if one is due; returns false otherwise. */
    boolean begin(int readySteps, long roundMillis) {
        sampling = due(roundMillis);
        if (!sampling) {
            return false;
        }
        nowMillis = roundMillis;
        sampleDueMillis = nowMillis + SAMPLE_INTERVAL_MILLIS;
        previousWaits = waits;
        waits = new LinkedHashMap<>();
        reasons.clear();
        int notSampled = Math.max(0, readySteps - MAX_STEPS);
        if (notSampled > 0) {
            reasons.put(WaitReason.NOT_SAMPLED, (long) notSampled);
        }
        usable = workers.trackedWorkers().stream()
                .filter(trackedWorker -> trackedWorker.usable(nowMillis))
                .toList();
        return true;
    }

    /**
     * Records a step with tasks that were not placed.
     *
     * @param step the step
     * @param inPool the room on each usable worker of the queue's pool
     * @param suitable whether a worker suits the step, regardless of advice and free capacity
     */
    void record(ReadyStep step, List<WorkerRoom> inPool, Predicate<WorkerRoom> suitable) {
        if (!sampling) {
            return;
        }
        WaitReason reason = reason(step, inPool, suitable, nowMillis);
        reasons.merge(reason, 1L, Long::sum);
        record(step, reason);
    }

    /** Records the steps that wait for the quota of their organisation; the first of them are reported like others. */
    void recordParked(Collection<WaitingStep> steps) {
        if (sampling && !steps.isEmpty()) {
            reasons.put(WaitReason.NO_QUOTA, (long) steps.size());
            steps.stream().limit(MAX_STEPS).forEach(step -> record(step.ready(), WaitReason.NO_QUOTA));
        }
    }

    private void record(ReadyStep step, WaitReason reason) {
        Wait previous = previousWaits.get(step.id());
        waits.put(
                step.id(),
                previous == null
                        ? new Wait(step, reason, nowMillis, Long.MIN_VALUE)
                        : new Wait(step, reason, previous.sinceMillis, previous.reportedMillis));
    }

    /** Ends a sample and passes it to the listener. */
    void end() {
        sampling = false;
        List<Wait> reported = waits.values().stream()
                .filter(this::reportDue)
                .sorted(Comparator.comparingLong(Wait::reportedMillis).thenComparingLong(Wait::sinceMillis))
                .limit(MAX_REPORTS)
                .toList();
        reported.forEach(
                wait -> waits.put(wait.step.id(), new Wait(wait.step, wait.reason, wait.sinceMillis, nowMillis)));
        listener.accept(new DispatchStatus(
                workers.trackedWorkers().size(),
                usable.size(),
                Map.copyOf(reasons),
                reported.stream().map(this::longWait).toList(),
                idleSampler.apply(nowMillis)));
    }

    private boolean reportDue(Wait wait) {
        return nowMillis - wait.sinceMillis >= LONG_WAIT_MILLIS
                && (wait.reportedMillis == Long.MIN_VALUE || nowMillis - wait.reportedMillis >= REPORT_INTERVAL_MILLIS);
    }

    private DispatchStatus.LongWait longWait(Wait wait) {
        return new DispatchStatus.LongWait(
                wait.step.id(),
                wait.step.queue().getName(),
                wait.reason,
                wait.step.waiting().size(),
                nowMillis - wait.sinceMillis,
                advice.lastOutcome(wait.step.id()));
    }

    /** Returns why a step with tasks that are not placed waits. */
    WaitReason reason(ReadyStep step, List<WorkerRoom> inPool, Predicate<WorkerRoom> suitable, long atMillis) {
        if (inPool.isEmpty()) {
            return WaitReason.NO_USABLE_WORKER;
        }
        List<WorkerRoom> fitting = inPool.stream().filter(suitable).toList();
        List<WorkerRoom> eligible = fitting.stream()
                .filter(room -> !step.requiresAdvice() || advice.eligible(step.id(), room.id()))
                .toList();
        if (eligible.isEmpty()) {
            boolean undecided = fitting.stream().anyMatch(room -> !advice.ineligible(step.id(), room.id()));
            return undecided ? WaitReason.NO_ADVICE : WaitReason.NO_ELIGIBLE_WORKER;
        }
        List<WorkerRoom> ticketed = eligible.stream()
                .filter(room -> !step.requiresAdvice()
                        || advice.ticket(step.id(), room.id(), atMillis).isPresent())
                .toList();
        return hasRoom(step, eligible) && !hasRoom(step, ticketed) ? WaitReason.NO_TICKET : WaitReason.NO_ROOM;
    }

    /** Returns whether a task, or all waiting tasks of a gang, have room on the workers. */
    private static boolean hasRoom(ReadyStep step, List<WorkerRoom> candidates) {
        long required = step.gang() ? step.waiting().size() : 1;
        long available = candidates.stream()
                .map(WorkerRoom::free)
                .filter(step.size()::fitsIn)
                .mapToLong(capacity -> Math.min(required, step.size().timesIn(capacity)))
                .sum();
        return available >= required;
    }
}
