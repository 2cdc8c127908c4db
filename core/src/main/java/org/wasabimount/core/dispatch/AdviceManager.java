package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.Queue;

/**
 * Distributes advice calls among the VMs and caches the results for each step.
 *
 * <p>The advice service accepts one call at a time from each VM, and the calls together take more time than one VM has.
 * The set of workers that may run a step does not change, but the ticket that proves it expires.
 */
final class AdviceManager {

    /** Time beyond its declared duration after which a call counts as failed, in milliseconds. */
    private static final long TIMEOUT_MARGIN_MILLIS = 1_500;

    /** How long a VM is not used after a failed call, in milliseconds. */
    private static final long CALLER_BACKOFF_MILLIS = 500;

    /** Half of the delay of a step after its first rejected call, in milliseconds; it doubles with each further one. */
    private static final long STEP_BACKOFF_MILLIS = 250;

    /** Number of doublings after which the delay of a step stays the same: 8 s. */
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /** Longest call that may use any idle VM, in milliseconds: the objective of urgent jobs allows no more. */
    static final double SHORT_CALL_MILLIS = 50;

    /** Number of VMs reserved for short calls. */
    private static final int RESERVED_FOR_SHORT_CALLS = 2;

    /** Minimum remaining validity of a usable ticket, in milliseconds; covers the commit and the start. */
    private static final long TICKET_MARGIN_MILLIS = 120;

    /** Maximum number of workers in one call; the service rejects calls that name more. */
    static final int MAX_WORKERS_PER_CALL = 100;

    private static final StepAdvice NO_ADVICE = new StepAdvice();

    /** Longest call as a share of the tickets' validity, so that a call can be repeated before its tickets expire. */
    private static final double MAX_CALL_SHARE = 0.66;

    /** Share of the workers that are expected to be eligible for a step as long as no call for it has returned. */
    static final double EXPECTED_ELIGIBLE_SHARE = 0.25;

    private final Map<String, Caller> callers = new LinkedHashMap<>();
    private final Map<Long, Call> openCalls = new HashMap<>();
    private final Map<StepId, StepAdvice> steps = new HashMap<>();
    private long nextId = 1;
    private Consumer<CompletedAdviceCall> callListener = call -> {};
    private Consumer<StepId> stepListener = step -> {};

    private static final class Caller {
        private long call;
        private long backoffUntilMillis = Long.MIN_VALUE;
    }

    private record Call(
            long id,
            String caller,
            StepId step,
            Map<String, IncarnationId> queriedWorkers,
            long sentMillis,
            long durationMillis) {

        long overdueMillis() {
            return sentMillis + durationMillis + 2 * TIMEOUT_MARGIN_MILLIS;
        }
    }

    private record Ticket(String text, long untilMillis) {}

    /** The cached advice for one step. */
    static final class StepAdvice {
        private final Map<IncarnationId, Ticket> eligible = new HashMap<>();
        private final Set<IncarnationId> ineligible = new HashSet<>();

        /** The workers that open calls name, with the number of such calls. */
        private final Map<IncarnationId, Integer> queried = new HashMap<>();

        private int openCalls;
        private int resultCount;
        private int refusals;
        private long retryMillis = Long.MIN_VALUE;
        private AdviceOutcome lastOutcome;

        boolean answered() {
            return resultCount > 0;
        }

        boolean callInProgress() {
            return openCalls > 0;
        }

        /** Returns whether an open call names a worker. */
        boolean queried(IncarnationId incarnation) {
            return queried.containsKey(incarnation);
        }

        /** Returns how many workers open calls name of which it is not known whether they may run the step. */
        long queriedUnknown() {
            return queried.keySet().stream()
                    .filter(incarnation -> !eligible.containsKey(incarnation) && !ineligible.contains(incarnation))
                    .count();
        }

        /** Returns whether a call names or has named a worker. */
        boolean named(IncarnationId incarnation) {
            return eligible.containsKey(incarnation) || ineligible.contains(incarnation) || queried(incarnation);
        }

        /** Returns the share of the workers named so far that may run the step, an expected share before that. */
        double eligibleShare() {
            int answers = eligible.size() + ineligible.size();
            // The expected share counts as one answer, so that the result is never zero.
            return (eligible.size() + EXPECTED_ELIGIBLE_SHARE) / (answers + 1);
        }

        /** Returns the workers of which the service has ever reported that they may run the step. */
        Set<IncarnationId> eligible() {
            return eligible.keySet();
        }

        /** Returns whether the service has ever reported that a worker may run the step. */
        boolean eligible(IncarnationId incarnation) {
            return eligible.containsKey(incarnation);
        }

        /** Returns when a call for the step may be made again, as monotonic time in milliseconds. */
        long retryMillis() {
            return retryMillis;
        }

        /** Returns whether there is a ticket for a worker that is valid for long enough. */
        boolean hasTicket(IncarnationId incarnation, long nowMillis) {
            Ticket ticket = eligible.get(incarnation);
            return ticket != null && nowMillis + TICKET_MARGIN_MILLIS < ticket.untilMillis;
        }

        /** Returns whether a worker has no valid ticket and is not reported as ineligible. */
        boolean mayNeedTicket(IncarnationId incarnation, long nowMillis) {
            return !ineligible.contains(incarnation) && !hasTicket(incarnation, nowMillis);
        }
    }

    /** Sets the listener for steps for which a call was answered, has failed or is overdue. */
    void setStepListener(Consumer<StepId> listener) {
        stepListener = listener;
    }

    void setCallListener(Consumer<CompletedAdviceCall> listener) {
        callListener = listener;
    }

    /** Returns the cached advice for a step, empty until a call for it is made. */
    StepAdvice of(StepId step) {
        return steps.getOrDefault(step, NO_ADVICE);
    }

    /**
     * Returns how many workers a call for a step of a queue may name so that a part of the tickets' validity is left when
     * it returns: at least one, at most {@link #MAX_WORKERS_PER_CALL}.
     */
    static int maxWorkers(Queue queue) {
        AdviceCost cost = queue.getAdvice();
        double spareMillis = cost.getValidMillis() * MAX_CALL_SHARE - cost.getCallMillis();
        double workers = cost.getWorkerMillis() > 0 ? spareMillis / cost.getWorkerMillis() : MAX_WORKERS_PER_CALL;
        return (int) Math.max(1, Math.min(MAX_WORKERS_PER_CALL, workers));
    }

    /** Returns the number of VMs that can currently make calls, each one at a time. */
    int callerCount() {
        return callers.size();
    }

    /** Returns whether a VM is available for a call. */
    boolean callerIdle(double costMillis, long nowMillis) {
        return idleCallers(nowMillis).size() > reservedCallers(costMillis);
    }

    /** Returns the share of the VMs that are available for a call. */
    double idleShare(long nowMillis) {
        return callers.isEmpty() ? 0 : (double) idleCallers(nowMillis).size() / callers.size();
    }

    private List<String> idleCallers(long nowMillis) {
        return callers.entrySet().stream()
                .filter(caller -> caller.getValue().call == 0 && nowMillis >= caller.getValue().backoffUntilMillis)
                .map(Map.Entry::getKey)
                .toList();
    }

    private int reservedCallers(double costMillis) {
        return costMillis <= SHORT_CALL_MILLIS
                ? 0
                : Math.max(0, Math.min(RESERVED_FOR_SHORT_CALLS, callers.size() - 1));
    }

    /** Sets the VMs that can currently make calls. */
    void callers(Collection<String> reachableVms) {
        callers.keySet().retainAll(reachableVms);
        reachableVms.forEach(vm -> callers.computeIfAbsent(vm, absent -> new Caller()));
    }

    /** Returns the ticket for a step on a worker if it is valid for long enough. */
    Optional<String> ticket(StepId step, IncarnationId incarnation, long nowMillis) {
        return Optional.ofNullable(steps.get(step))
                .map(advice -> advice.eligible.get(incarnation))
                .filter(ticket -> nowMillis + TICKET_MARGIN_MILLIS < ticket.untilMillis)
                .map(Ticket::text);
    }

    /** Returns whether the service has ever reported that a worker may run the step, even if the ticket has expired. */
    boolean eligible(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.eligible.containsKey(incarnation);
    }

    /** Returns whether the service has reported that a worker may not run the step. */
    boolean ineligible(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.ineligible.contains(incarnation);
    }

    boolean callInProgress(StepId step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.callInProgress();
    }

    boolean answered(StepId step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.resultCount > 0;
    }

    /** Returns the outcome of the last completed call for the step. */
    Optional<AdviceOutcome> lastOutcome(StepId step) {
        return Optional.ofNullable(steps.get(step)).map(advice -> advice.lastOutcome);
    }

    /**
     * Creates an advice call for a step if a VM is available for it.
     *
     * @throws IllegalArgumentException if more than {@link #MAX_WORKERS_PER_CALL} workers are named
     */
    Optional<DispatchAction.RequestAdvice> requestAdvice(
            StepId step, List<IncarnationId> workers, double costMillis, long nowMillis) {
        if (workers.size() > MAX_WORKERS_PER_CALL) {
            throw new IllegalArgumentException(
                    "an advice call may name " + MAX_WORKERS_PER_CALL + " workers, not " + workers.size());
        }
        List<String> idleCallers = idleCallers(nowMillis);
        if (idleCallers.size() <= reservedCallers(costMillis) || nowMillis < of(step).retryMillis) {
            return Optional.empty();
        }
        long id = nextId++;
        String caller = idleCallers.get(0);
        long timeoutMillis = (long) costMillis + TIMEOUT_MARGIN_MILLIS;
        Map<String, IncarnationId> queriedWorkers = new LinkedHashMap<>();
        workers.forEach(incarnation -> queriedWorkers.put(incarnation.worker(), incarnation));
        callers.get(caller).call = id;
        openCalls.put(id, new Call(id, caller, step, queriedWorkers, nowMillis, (long) costMillis));
        StepAdvice advice = steps.computeIfAbsent(step, absent -> new StepAdvice());
        advice.openCalls++;
        queriedWorkers.values().forEach(incarnation -> advice.queried.merge(incarnation, 1, Integer::sum));
        return Optional.of(new DispatchAction.RequestAdvice(
                id, caller, step, new ArrayList<>(queriedWorkers.keySet()), timeoutMillis));
    }

    /** Records the result of a call; returns false if the call is no longer open. */
    boolean answered(long id, AdviceResult result, long nowMillis) {
        Call call = openCalls.remove(id);
        if (call == null) {
            return false;
        }
        Caller caller = callers.get(call.caller);
        if (caller != null && caller.call == id) {
            caller.call = 0;
            caller.backoffUntilMillis =
                    result.outcome().retryable() ? nowMillis + CALLER_BACKOFF_MILLIS : Long.MIN_VALUE;
        }
        StepAdvice advice = steps.get(call.step);
        if (advice != null) {
            advice.openCalls--;
            call.queriedWorkers
                    .values()
                    .forEach(incarnation ->
                            advice.queried.computeIfPresent(incarnation, (key, open) -> open == 1 ? null : open - 1));
            advice.lastOutcome = result.outcome();
            recordRefusal(advice, result.outcome(), nowMillis);
            recordResult(advice, call, result);
        }
        callListener.accept(new CompletedAdviceCall(
                call.step,
                call.caller,
                call.queriedWorkers.size(),
                result.outcome(),
                result.status(),
                nowMillis - call.sentMillis));
        stepListener.accept(call.step);
        return true;
    }

    /** A call that would be rejected again delays its step, increasingly, and not the VM that made it. */
    private static void recordRefusal(StepAdvice advice, AdviceOutcome outcome, long nowMillis) {
        boolean refused = !outcome.answered() && !outcome.retryable();
        advice.refusals = refused ? advice.refusals + 1 : 0;
        long delayMillis = STEP_BACKOFF_MILLIS << Math.min(advice.refusals, MAX_BACKOFF_DOUBLINGS);
        advice.retryMillis = refused ? nowMillis + delayMillis : Long.MIN_VALUE;
    }

    private static void recordResult(StepAdvice advice, Call call, AdviceResult result) {
        if (!result.answered()) {
            return;
        }
        advice.resultCount++;
        call.queriedWorkers.forEach((worker, incarnation) -> {
            String ticket = result.tickets().get(worker);
            if (ticket == null) {
                advice.ineligible.add(incarnation);
            } else {
                // The service issues tickets when it responds, after the declared duration at the earliest. The
                // response
                // itself may have been delayed, so its arrival says nothing.
                long issuedMillis = call.sentMillis + call.durationMillis;
                advice.eligible.put(incarnation, new Ticket(ticket, issuedMillis + result.validMillis()));
            }
        });
    }

    /** Fails the calls whose response is overdue. */
    void tick(long nowMillis) {
        List<Call> overdueCalls = openCalls.values().stream()
                .filter(call -> nowMillis >= call.overdueMillis())
                .toList();
        overdueCalls.forEach(call -> answered(call.id, AdviceResult.failed(AdviceOutcome.NO_ANSWER), nowMillis));
    }

    /** Invalidates a ticket that a worker rejected. */
    void ticketRejected(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        if (advice != null) {
            advice.eligible.computeIfPresent(incarnation, (key, ticket) -> new Ticket(ticket.text, Long.MIN_VALUE));
        }
    }

    void forgetJob(String job) {
        steps.keySet().removeIf(step -> step.job().equals(job));
    }
}
