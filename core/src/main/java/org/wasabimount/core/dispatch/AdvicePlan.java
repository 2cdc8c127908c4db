package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.wasabimount.core.job.IncarnationId;

/**
 * Decides which advice calls to make next: in scheduling order, and with the workers that a step needs most.
 *
 * <p>Designed for a service whose calls take longer the more workers they name, and for tickets that expire soon
 * afterwards. A first call finds out who may run a step; later ones name workers that are known to be eligible and have
 * room, or soon will. A gang that needs more workers than one call may name gets several calls at once from different
 * VMs, so that their tickets are valid at the same time.
 */
final class AdvicePlan {

    /** Longest call that any idle VM may make, in milliseconds; longer ones leave some VMs to the short ones. */
    private static final double SHORT_CALL_MILLIS = AdviceManager.SHORT_CALL_MILLIS;

    /**
     * Number of slots that the eligible workers of a gang should have for each of its tasks, so that those can be chosen
     * that are free at the same time.
     */
    private static final double GANG_SLOTS_PER_TASK = 2;

    /** Number of slots with a ticket that a gang should have for each of its tasks, as workers become unusable meanwhile. */
    private static final double TICKETS_PER_TASK = 1.25;

    /**
     * Share of the VMs that must be available for a call that names further workers for a gang, which may have enough of them
     * already: they must not keep others from calls without which nothing starts.
     */
    private static final double MIN_IDLE_CALLERS_FOR_SEARCH = 0.5;

    /** Maximum number of rooms examined to find workers that no call has named yet. */
    private static final int MAX_ROOMS_SEARCHED = 256;

    private final AdviceManager advice;
    private final GangReservations reservations;
    private final ExaminedCounts examined;
    private final NavigableSet<WaitingStep> shortCalls;
    private final NavigableSet<WaitingStep> longCalls;
    private int lastNamedInTurn = -1;

    AdvicePlan(
            AdviceManager advice,
            GangReservations reservations,
            Comparator<WaitingStep> order,
            ExaminedCounts examined) {
        this.advice = advice;
        this.reservations = reservations;
        this.examined = examined;
        this.shortCalls = new TreeSet<>(order);
        this.longCalls = new TreeSet<>(order);
    }

    /** Has a call for a step made as soon as a VM is available, if there is a worker to name by then. */
    void add(WaitingStep step) {
        boolean shortCall = callMillis(step.ready(), 1) <= SHORT_CALL_MILLIS;
        (shortCall ? shortCalls : longCalls).add(step);
    }

    void remove(WaitingStep step) {
        shortCalls.remove(step);
        longCalls.remove(step);
    }

    /** Returns whether a call is wanted and a VM is available for it. */
    boolean callPossible(long nowMillis) {
        return !shortCalls.isEmpty() && advice.callerIdle(0, nowMillis)
                || !longCalls.isEmpty() && advice.callerIdle(Double.MAX_VALUE, nowMillis);
    }

    /** Returns whether a call for a step is wanted and no VM is available for it. */
    boolean awaitsCaller(WaitingStep step, long nowMillis) {
        return shortCalls.contains(step) && !advice.callerIdle(0, nowMillis)
                || longCalls.contains(step) && !advice.callerIdle(Double.MAX_VALUE, nowMillis);
    }

    /** Returns the duration of a call for a step, in milliseconds, or of the longest if several are needed. */
    long callMillis(ReadyStep step, int workers) {
        int named = Math.min(workers, AdviceManager.maxWorkers(step.queue()));
        return (long) Math.ceil(JobPlan.adviceCallMillis(step.queue(), named));
    }

    /** Returns the workers with a gang's reservation for which there is no ticket that is valid at a time. */
    List<WorkerRoom> withoutTicket(WaitingStep gang, long atMillis) {
        if (!gang.ready().requiresAdvice()) {
            return List.of();
        }
        AdviceManager.StepAdvice stepAdvice = advice.of(gang.id());
        return reservations.targets(gang).keySet().stream()
                .filter(room -> !stepAdvice.hasTicket(room.id(), atMillis))
                .toList();
    }

    /** Returns whether a call can bring a gang nearer to its start: by eligible workers, or by tickets for free room. */
    boolean callHelps(WaitingStep gang, Collection<WorkerRoom> eligible, long nowMillis) {
        return namesNeeded(gang, eligible) > 0
                || !roomsWithoutTicket(gang, eligible, nowMillis).isEmpty()
                || gang.searchDue(nowMillis) && freeSlotsOf(gang, eligible) < requiredSlots(gang);
    }

    private int namesNeeded(WaitingStep gang, Collection<WorkerRoom> eligible) {
        ReadyStep ready = gang.ready();
        AdviceManager.StepAdvice stepAdvice = advice.of(gang.id());
        examined.add(ExaminedCounts.Part.ROUND, eligible.size());
        long known =
                eligible.stream().mapToLong(room -> room.slots(ready.size())).sum();
        double slotsPerWorker = eligible.isEmpty() ? 1 : Math.max(1, (double) known / eligible.size());
        double slotsPerName = slotsPerWorker * stepAdvice.eligibleShare();
        double missing = GANG_SLOTS_PER_TASK * ready.tasksAtOnce() - known - slotsPerName * stepAdvice.queriedUnknown();
        return (int) Math.ceil(missing / slotsPerName);
    }

    /** Returns the number of free slots for which a gang should have tickets, so that it can lose some workers. */
    private static long requiredSlots(WaitingStep gang) {
        return (long) Math.ceil(TICKETS_PER_TASK * gang.ready().tasksAtOnce());
    }

    private static long freeSlotsOf(WaitingStep gang, Collection<WorkerRoom> rooms) {
        return rooms.stream().mapToLong(room -> room.freeSlots(gang)).sum();
    }

    /**
     * Returns the workers with free room for which a gang needs tickets to start now; none if the free room on all
     * eligible workers is not enough for it, or if open calls will bring enough tickets.
     */
    private List<WorkerRoom> roomsWithoutTicket(WaitingStep gang, Collection<WorkerRoom> eligible, long nowMillis) {
        ReadyStep ready = gang.ready();
        examined.add(ExaminedCounts.Part.ROUND, eligible.size());
        List<WorkerRoom> free =
                eligible.stream().filter(room -> room.freeSlots(gang) > 0).toList();
        if (!ready.requiresAdvice() || freeSlotsOf(gang, free) < ready.tasksAtOnce()) {
            return List.of();
        }
        AdviceManager.StepAdvice stepAdvice = advice.of(gang.id());
        // The tickets must still be valid when those of the next call arrive.
        long atMillis = nowMillis + callMillis(ready, free.size());
        Predicate<WorkerRoom> covered =
                room -> stepAdvice.queried(room.id()) || stepAdvice.hasTicket(room.id(), atMillis);
        long missing = requiredSlots(gang)
                - freeSlotsOf(gang, free.stream().filter(covered).toList());
        List<WorkerRoom> named = new ArrayList<>();
        for (WorkerRoom room : free.stream()
                .filter(covered.negate())
                .sorted(Comparator.<WorkerRoom>comparingLong(room -> room.freeSlots(gang))
                        .reversed()
                        .thenComparingInt(WorkerRoom::number))
                .toList()) {
            if (missing <= 0) {
                break;
            }
            named.add(room);
            missing -= room.freeSlots(gang);
        }
        return named;
    }

    /** Requests the calls that are wanted, as far as VMs are available. */
    void requestCalls(
            Function<ReadyStep, Predicate<WorkerRoom>> suitable,
            Function<ReadyStep, PoolRooms> poolOf,
            long nowMillis,
            Consumer<DispatchAction> actions) {
        request(shortCalls, 0, suitable, poolOf, nowMillis, actions);
        request(longCalls, Double.MAX_VALUE, suitable, poolOf, nowMillis, actions);
    }

    private void request(
            NavigableSet<WaitingStep> steps,
            double leastMillis,
            Function<ReadyStep, Predicate<WorkerRoom>> suitable,
            Function<ReadyStep, PoolRooms> poolOf,
            long nowMillis,
            Consumer<DispatchAction> actions) {
        List<WaitingStep> postponed = new ArrayList<>();
        while (!steps.isEmpty() && advice.callerIdle(leastMillis, nowMillis)) {
            WaitingStep step = next(steps);
            steps.remove(step);
            ReadyStep ready = step.ready();
            PoolRooms pool = poolOf.apply(ready);
            if (pool.usable().isEmpty()) {
                // A new leader knows its workers only once they have listed their runs.
                postponed.add(step);
                continue;
            }
            List<WorkerRoom> named = ready.reservesRoom()
                    ? gangCall(step, suitable.apply(ready), pool, nowMillis)
                    : taskCall(step, suitable.apply(ready), pool, nowMillis);
            if (named.isEmpty()) {
                continue;
            }
            List<IncarnationId> incarnations =
                    named.stream().map(WorkerRoom::id).toList();
            advice.requestAdvice(step.id(), incarnations, callMillis(ready, named.size()), nowMillis)
                    .ifPresent(call -> {
                        actions.accept(call);
                        if (ready.reservesRoom()) {
                            // Considered again in case one call is not enough.
                            steps.add(step);
                        }
                    });
        }
        steps.addAll(postponed);
    }

    /**
     * Returns the step whose call is made next: the first in scheduling order, but calls that are repeated must not keep a gang
     * from its first one, without which it can't start.
     */
    private WaitingStep next(NavigableSet<WaitingStep> steps) {
        return steps.stream()
                .filter(step -> step.ready().reservesRoom())
                .filter(step -> !advice.of(step.id()).answered()
                        && !advice.of(step.id()).callInProgress())
                .findFirst()
                .orElseGet(steps::first);
    }

    private List<WorkerRoom> gangCall(
            WaitingStep gang, Predicate<WorkerRoom> suitable, PoolRooms pool, long nowMillis) {
        ReadyStep ready = gang.ready();
        AdviceManager.StepAdvice stepAdvice = advice.of(gang.id());
        int maxWorkers = AdviceManager.maxWorkers(ready.queue());
        List<WorkerRoom> eligible = gang.eligibleRooms().stream()
                .filter(WorkerRoom::usable)
                .filter(suitable)
                .toList();
        List<WorkerRoom> free = roomsWithoutTicket(gang, eligible, nowMillis);
        if (!free.isEmpty()) {
            return firstCall(free, maxWorkers);
        }
        List<WorkerRoom> targets = withoutTicket(gang, ticketsNeededMillis(gang, nowMillis)).stream()
                .filter(room -> !stepAdvice.queried(room.id()))
                .toList();
        boolean callDue = !targets.isEmpty()
                && reservations.readyInMillis(gang, nowMillis)
                        <= callMillis(ready, targets.size()) + StepPlacement.CALL_LEAD_MILLIS;
        if (callDue) {
            return firstCall(targets, maxWorkers);
        }
        int names = Math.min(maxWorkers, namesNeeded(gang, eligible));
        int leastNames = Math.min(JobPlan.ADVISED_WORKERS, maxWorkers);
        if (names > 0) {
            return unknownWorkers(gang, suitable, pool, Math.max(names, leastNames));
        }
        long missing = requiredSlots(gang) - freeSlotsOf(gang, eligible);
        boolean callersSpare =
                advice.idleShare(nowMillis) >= MIN_IDLE_CALLERS_FOR_SEARCH || waitsForRoom(gang, nowMillis);
        if (missing <= 0 || stepAdvice.callInProgress() || !gang.searchDue(nowMillis) || !callersSpare) {
            return List.of();
        }
        gang.searched(nowMillis);
        return unknownWorkersForGang(gang, suitable, pool, missing, nowMillis);
    }

    /**
     * Returns workers with free room that no call for a gang has named: as many as are expected to have the missing slots,
     * or the first ones if the gang would wait longer than the call for the room that it has reserved.
     */
    private List<WorkerRoom> unknownWorkersForGang(
            WaitingStep gang, Predicate<WorkerRoom> suitable, PoolRooms pool, long missing, long nowMillis) {
        int maxWorkers = AdviceManager.maxWorkers(gang.ready().queue());
        double eligibleShare = advice.of(gang.id()).eligibleShare();
        List<WorkerRoom> unknown = unknownWorkersWithRoom(gang, suitable, pool, maxWorkers);
        double expected = 0;
        for (int count = 0; count < unknown.size(); count++) {
            expected += eligibleShare * unknown.get(count).freeSlots(gang);
            if (expected >= missing) {
                return unknown.subList(0, count + 1);
            }
        }
        return waitsForRoom(gang, nowMillis)
                ? unknown.subList(0, Math.min(JobPlan.ADVISED_WORKERS, unknown.size()))
                : List.of();
    }

    /** Returns the workers to name in the first of several calls that share the workers evenly. */
    private static List<WorkerRoom> firstCall(List<WorkerRoom> rooms, int maxWorkers) {
        int calls = (rooms.size() + maxWorkers - 1) / maxWorkers;
        return rooms.subList(0, (rooms.size() + calls - 1) / calls);
    }

    /** Returns whether a gang waits for room longer than it takes to ask for other workers. */
    boolean waitsForRoom(WaitingStep gang, long nowMillis) {
        return reservations.contains(gang)
                && !advice.of(gang.id()).callInProgress()
                && reservations.readyInMillis(gang, nowMillis) > callMillis(gang.ready(), JobPlan.ADVISED_WORKERS);
    }

    private List<WorkerRoom> unknownWorkersWithRoom(
            WaitingStep step, Predicate<WorkerRoom> suitable, PoolRooms pool, int limit) {
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        return pool.mostFreeFirst(step.ready().size())
                .limit(MAX_ROOMS_SEARCHED)
                .peek(room -> examined.add(ExaminedCounts.Part.ROUND, 1))
                .filter(room -> !stepAdvice.named(room.id()) && suitable.test(room))
                .limit(limit)
                .toList();
    }

    /** Returns when the tickets of a gang must still be valid: when its room is complete. */
    long ticketsNeededMillis(WaitingStep gang, long nowMillis) {
        long readyInMillis = reservations.readyInMillis(gang, nowMillis);
        return readyInMillis == Long.MAX_VALUE ? nowMillis : nowMillis + readyInMillis;
    }

    /** Returns workers that no call for a step has named: first those with room, then the others in turn. */
    private List<WorkerRoom> unknownWorkers(
            WaitingStep step, Predicate<WorkerRoom> suitable, PoolRooms pool, int limit) {
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        Predicate<WorkerRoom> unknown = room -> !stepAdvice.named(room.id()) && suitable.test(room);
        Set<WorkerRoom> found = new LinkedHashSet<>();
        Stream.concat(
                        pool.onRack(step.ready().step().getDataRack()),
                        pool.mostFreeFirst(step.ready().size()))
                .peek(room -> examined.add(ExaminedCounts.Part.ROUND, 1))
                .filter(unknown)
                .limit(limit)
                .forEach(found::add);
        pool.inTurn(lastNamedInTurn)
                .peek(room -> examined.add(ExaminedCounts.Part.ROUND, 1))
                .filter(unknown.and(room -> !found.contains(room)))
                .limit(Math.max(0, limit - found.size()))
                .forEach(room -> {
                    found.add(room);
                    lastNamedInTurn = room.number();
                });
        return List.copyOf(found);
    }

    /** Returns the workers to name for a step whose tasks run independently; none if no call can help now. */
    private List<WorkerRoom> taskCall(
            WaitingStep step, Predicate<WorkerRoom> suitable, PoolRooms pool, long nowMillis) {
        ReadyStep ready = step.ready();
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        if (stepAdvice.callInProgress()) {
            return List.of();
        }
        int maxWorkers = AdviceManager.maxWorkers(ready.queue());
        if (!stepAdvice.answered()) {
            int names = Math.min(maxWorkers, 2 * JobPlan.ADVISED_WORKERS);
            return select(step, unknownWorkers(step, suitable, pool, names), nowMillis);
        }
        examined.add(ExaminedCounts.Part.ROUND, step.eligibleRooms().size());
        List<WorkerRoom> candidates = new ArrayList<>(step.eligibleRooms().stream()
                .filter(room -> room.usable() && !stepAdvice.hasTicket(room.id(), nowMillis))
                .filter(suitable)
                .toList());
        candidates.addAll(unknownWorkersWithRoom(step, suitable, pool, maxWorkers));
        boolean roomExists =
                candidates.stream().anyMatch(room -> ready.size().fitsIn(room.availableTo(ready, nowMillis)));
        return roomExists ? select(step, candidates, nowMillis) : List.of();
    }

    private List<WorkerRoom> select(WaitingStep step, List<WorkerRoom> rooms, long nowMillis) {
        ReadyStep ready = step.ready();
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        List<AdviceQuery.Candidate> candidates = rooms.stream()
                .map(room -> new AdviceQuery.Candidate(
                        room.worker(),
                        stepAdvice.eligible(room.id()),
                        Placer.nearData(ready, room.worker()),
                        ready.size().timesIn(room.availableTo(ready, nowMillis))))
                .toList();
        List<TrackedWorker> selected =
                AdviceQuery.select(candidates, ready.waiting().size(), AdviceManager.maxWorkers(ready.queue()));
        return rooms.stream().filter(room -> selected.contains(room.worker())).toList();
    }
}
