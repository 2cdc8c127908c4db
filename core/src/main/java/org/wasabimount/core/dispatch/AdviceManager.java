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

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.StepId;

/**
 * Shares the calls for advice among the VMs, and remembers what the service said of each step.
 *
 * <p>The load it answers: the service takes one call at a time from each VM, and together the calls take longer than
 * one VM has time. Which workers may run a step does not change, but the ticket that proves it lapses.
 */
final class AdviceManager {

    /** What a call may take beyond its declared time, in milliseconds, before it counts as lost. */
    private static final long SLACK_MILLIS = 1_500;

    /** How long a VM whose call failed is left alone, in milliseconds. */
    private static final long REST_MILLIS = 500;

    /** Calls up to this length may be made by any VM, in milliseconds: the objective of urgent jobs allows no more. */
    private static final double SHORT_MILLIS = 50;

    /** VMs that are kept free for short calls. */
    private static final int KEPT_FOR_SHORT = 2;

    /** A ticket counts only if it is valid for this long, in milliseconds, to cover a commit and the start. */
    private static final long TICKET_MARGIN_MILLIS = 120;

    private final Map<String, Caller> callers = new LinkedHashMap<>();
    private final Map<Long, Call> open = new HashMap<>();
    private final Map<StepId, StepAdvice> steps = new HashMap<>();
    private long nextId = 1;

    private static final class Caller {
        private long call;
        private long restUntilMillis = Long.MIN_VALUE;
    }

    private record Call(
            long id, String caller, StepId step, Map<String, IncarnationId> asked, long sentMillis, long lostMillis) {}

    private record Ticket(String text, long untilMillis) {}

    /** What is known of one step. */
    private static final class StepAdvice {
        private final Map<IncarnationId, Ticket> good = new HashMap<>();
        private final Set<IncarnationId> bad = new HashSet<>();
        private boolean asking;
        private int answers;
    }

    /** Sets which VMs can call now. */
    void callers(Collection<String> alive) {
        callers.keySet().retainAll(alive);
        alive.forEach(vm -> callers.computeIfAbsent(vm, absent -> new Caller()));
    }

    /** Returns the valid ticket for a worker. */
    Optional<String> ticket(StepId step, IncarnationId incarnation, long nowMillis) {
        return Optional.ofNullable(steps.get(step))
                .map(advice -> advice.good.get(incarnation))
                .filter(ticket -> nowMillis + TICKET_MARGIN_MILLIS < ticket.untilMillis)
                .map(Ticket::text);
    }

    /** Tells whether the service has said that a worker may run the step, at any time. */
    boolean good(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.good.containsKey(incarnation);
    }

    /** Tells whether the service has said that a worker may not run the step. */
    boolean bad(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.bad.contains(incarnation);
    }

    boolean asking(StepId step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.asking;
    }

    boolean answered(StepId step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.answers > 0;
    }

    /** Has a VM ask about a step, if one is free. */
    Optional<DispatchAction.RequestAdvice> ask(
            StepId step, List<IncarnationId> workers, double costMillis, long nowMillis) {
        List<String> free = callers.entrySet().stream()
                .filter(caller -> caller.getValue().call == 0 && nowMillis >= caller.getValue().restUntilMillis)
                .map(Map.Entry::getKey)
                .toList();
        int kept = costMillis <= SHORT_MILLIS ? 0 : Math.min(KEPT_FOR_SHORT, callers.size() - 1);
        if (free.size() <= kept) {
            return Optional.empty();
        }
        long id = nextId++;
        String caller = free.get(0);
        long timeoutMillis = (long) costMillis + SLACK_MILLIS;
        Map<String, IncarnationId> asked = new LinkedHashMap<>();
        workers.forEach(incarnation -> asked.put(incarnation.worker(), incarnation));
        callers.get(caller).call = id;
        open.put(id, new Call(id, caller, step, asked, nowMillis, nowMillis + timeoutMillis + SLACK_MILLIS));
        steps.computeIfAbsent(step, absent -> new StepAdvice()).asking = true;
        return Optional.of(
                new DispatchAction.RequestAdvice(id, caller, step, new ArrayList<>(asked.keySet()), timeoutMillis));
    }

    /** Takes the answer of a call; returns false if it is not open any more. */
    boolean answered(long id, AdviceResult answer, long nowMillis) {
        Call call = open.remove(id);
        if (call == null) {
            return false;
        }
        Caller caller = callers.get(call.caller);
        if (caller != null && caller.call == id) {
            caller.call = 0;
            caller.restUntilMillis = answer.answered() ? Long.MIN_VALUE : nowMillis + REST_MILLIS;
        }
        StepAdvice advice = steps.get(call.step);
        if (advice != null) {
            advice.asking = false;
            note(advice, call, answer);
        }
        return true;
    }

    private static void note(StepAdvice advice, Call call, AdviceResult answer) {
        if (!answer.answered()) {
            return;
        }
        advice.answers++;
        call.asked.forEach((worker, incarnation) -> {
            String ticket = answer.tickets().get(worker);
            if (ticket == null) {
                advice.bad.add(incarnation);
            } else {
                // Counted from the sending, because the answer may have been on its way for long.
                advice.good.put(incarnation, new Ticket(ticket, call.sentMillis + answer.validMillis()));
            }
        });
    }

    /** Gives up calls whose answer is overdue. */
    void tick(long nowMillis) {
        List<Call> lost = open.values().stream()
                .filter(call -> nowMillis >= call.lostMillis)
                .toList();
        lost.forEach(call -> answered(call.id, AdviceResult.NONE, nowMillis));
    }

    /** Forgets a ticket that a worker did not take. */
    void rejected(StepId step, IncarnationId incarnation) {
        StepAdvice advice = steps.get(step);
        if (advice != null) {
            advice.good.computeIfPresent(incarnation, (key, ticket) -> new Ticket(ticket.text, Long.MIN_VALUE));
        }
    }

    void forgetJob(String job) {
        steps.keySet().removeIf(step -> step.job().equals(job));
    }
}
