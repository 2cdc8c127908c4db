package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;

/**
 * Samples what idle jobs wait for, and how much room is free.
 *
 * <p>Changes no state of the placement. A sample examines the workers for a limited number of jobs.
 */
final class IdleSampler {

    /** Time after which an idle job is reported, in milliseconds. */
    private static final long LONG_IDLE_MILLIS = 3_000;

    /** Minimum time between two reports of one job, in milliseconds: a sample less than five seconds. */
    private static final long REPORT_INTERVAL_MILLIS = 3_900;

    /** Maximum number of jobs reported by one sample. */
    static final int MAX_REPORTS = 20;

    private final IdleJobs jobs;
    private final WorkerManager workers;
    private final AdviceManager advice;
    private final StepPlacement placement;
    private long nowMillis;

    IdleSampler(IdleJobs jobs, WorkerManager workers, AdviceManager advice, StepPlacement placement) {
        this.jobs = jobs;
        this.workers = workers;
        this.advice = advice;
        this.placement = placement;
    }

    IdleStatus sample(long sampleMillis) {
        nowMillis = sampleMillis;
        List<IdleJobs.OpenJob> reported = jobs.idle().stream()
                .filter(this::reportDue)
                .sorted(Comparator.comparingLong(IdleJobs.OpenJob::reportedMillis)
                        .thenComparingLong(IdleJobs.OpenJob::idleSinceMillis))
                .limit(MAX_REPORTS)
                .toList();
        Set<IdleJobs.OpenJob> examined = new LinkedHashSet<>(reported);
        jobs.idle().stream().limit(WaitSampler.MAX_STEPS).forEach(examined::add);
        Map<IdleReason, Long> reasons = new EnumMap<>(IdleReason.class);
        List<IdleStatus.IdleJob> reports = new ArrayList<>();
        examined.stream().limit(WaitSampler.MAX_STEPS).forEach(job -> {
            Optional<WaitingStep> step = waitingStep(job);
            IdleReason reason = step.map(this::reason).orElse(IdleReason.START_UNDER_WAY);
            reasons.merge(reason, 1L, Long::sum);
            if (reports.size() < reported.size()) {
                reports.add(report(job, step, reason));
                job.reported(nowMillis);
            }
        });
        int notSampled = jobs.idle().size() - Math.min(examined.size(), WaitSampler.MAX_STEPS);
        if (notSampled > 0) {
            reasons.put(IdleReason.NOT_SAMPLED, (long) notSampled);
        }
        long longestMillis = jobs.idle().stream()
                .limit(1)
                .mapToLong(job -> nowMillis - job.idleSinceMillis())
                .sum();
        List<WorkerRoom> usable =
                placement.rooms().stream().filter(WorkerRoom::usable).toList();
        return new IdleStatus(
                Map.copyOf(reasons), longestMillis, freeShare(usable), reservedShare(usable), List.copyOf(reports));
    }

    private boolean reportDue(IdleJobs.OpenJob job) {
        boolean neverReported = job.reportedMillis() == Long.MIN_VALUE;
        return nowMillis - job.idleSinceMillis() >= LONG_IDLE_MILLIS
                && (neverReported || nowMillis - job.reportedMillis() >= REPORT_INTERVAL_MILLIS);
    }

    /** Returns the first ready step of a job that is to be placed; empty while placements of all of them are committed. */
    private Optional<WaitingStep> waitingStep(IdleJobs.OpenJob job) {
        return job.readySteps().stream()
                .flatMap(step -> placement.waitingStep(step).stream())
                .findFirst();
    }

    private IdleReason reason(WaitingStep step) {
        ReadyStep ready = step.ready();
        if (placement.quota().parked(step)) {
            return IdleReason.NO_QUOTA;
        }
        if (placement.poolOf(ready).usable().isEmpty()) {
            return IdleReason.NO_USABLE_WORKER;
        }
        List<WorkerRoom> eligible = eligible(step);
        if (eligible.isEmpty()) {
            return reasonOfTooFewWorkers(step);
        }
        return ready.reservesRoom() ? reasonOfGang(step, eligible) : reasonOfTasks(step, eligible);
    }

    /** Returns the usable workers that may run a step and are large enough for one of its tasks. */
    private List<WorkerRoom> eligible(WaitingStep step) {
        ReadyStep ready = step.ready();
        Predicate<WorkerRoom> suitable = placement.suitable(ready);
        Collection<WorkerRoom> all = ready.requiresAdvice()
                ? step.eligibleRooms()
                : placement.poolOf(ready).usable();
        return all.stream()
                .filter(room -> room.usable()
                        && suitable.test(room)
                        && ready.size().fitsIn(room.worker().capacity()))
                .toList();
    }

    private IdleReason reasonOfTooFewWorkers(WaitingStep step) {
        ReadyStep ready = step.ready();
        Predicate<WorkerRoom> suitable = placement.suitable(ready);
        boolean undecided = ready.requiresAdvice()
                && placement.poolOf(ready).usable().stream()
                        .anyMatch(room -> suitable.test(room)
                                && !advice.eligible(step.id(), room.id())
                                && !advice.ineligible(step.id(), room.id()));
        if (!undecided) {
            return IdleReason.NO_ELIGIBLE_WORKER;
        }
        return awaitsCaller(step) ? IdleReason.NO_CALLER : IdleReason.NO_ADVICE;
    }

    private boolean awaitsCaller(WaitingStep step) {
        return !advice.callInProgress(step.id()) && placement.advicePlan().awaitsCaller(step, nowMillis);
    }

    private IdleReason reasonOfGang(WaitingStep step, List<WorkerRoom> eligible) {
        ReadyStep ready = step.ready();
        if (tasksReserved(step) >= ready.tasksAtOnce()) {
            return reasonOfReservation(step);
        }
        if (ready.isolated()) {
            return IdleReason.ISOLATION;
        }
        if (freeSlots(step, eligible) >= ready.tasksAtOnce()) {
            return reasonBesideFreeRoom(step, eligible);
        }
        long slots = eligible.stream().mapToLong(room -> slots(ready, room)).sum();
        if (slots < ready.tasksAtOnce()) {
            return reasonOfTooFewWorkers(step);
        }
        long besideLasting =
                eligible.stream().mapToLong(room -> room.slots(ready.size())).sum();
        return besideLasting < ready.tasksAtOnce() ? IdleReason.NO_ROOM : IdleReason.NO_RESERVATION;
    }

    private static long freeSlots(WaitingStep step, List<WorkerRoom> rooms) {
        return rooms.stream().mapToLong(room -> room.freeSlots(step)).sum();
    }

    /** Returns what a gang waits for although the free room holds all of its tasks. */
    private IdleReason reasonBesideFreeRoom(WaitingStep step, List<WorkerRoom> eligible) {
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        List<WorkerRoom> ticketed = eligible.stream()
                .filter(room -> !step.ready().requiresAdvice() || stepAdvice.hasTicket(room.id(), nowMillis))
                .toList();
        if (freeSlots(step, ticketed) >= step.ready().tasksAtOnce()) {
            return IdleReason.START_UNDER_WAY;
        }
        return awaitsCaller(step) ? IdleReason.NO_CALLER : IdleReason.NO_TICKET;
    }

    private static long slots(ReadyStep ready, WorkerRoom room) {
        long slots = ready.size().timesIn(room.worker().capacity());
        int limit = ready.step().getMaxPerWorker();
        return limit == 0 ? slots : Math.min(limit, slots);
    }

    /** Returns what a gang waits for that has room reserved for all its tasks. */
    private IdleReason reasonOfReservation(WaitingStep step) {
        List<WorkerRoom> occupied = placement.reservations().targets(step).keySet().stream()
                .filter(room -> room.millisUntilReserved(step, nowMillis) > 0)
                .toList();
        if (!occupied.isEmpty()) {
            return reasonOfOccupiedReservation(step, occupied);
        }
        List<WorkerRoom> ticketless = placement.advicePlan().withoutTicket(step, nowMillis);
        if (ticketless.isEmpty()) {
            return IdleReason.START_UNDER_WAY;
        }
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        boolean notAsked = ticketless.stream().anyMatch(room -> !stepAdvice.queried(room.id()));
        return notAsked && placement.advicePlan().awaitsCaller(step, nowMillis)
                ? IdleReason.NO_CALLER
                : IdleReason.NO_TICKET;
    }

    private IdleReason reasonOfOccupiedReservation(WaitingStep step, List<WorkerRoom> occupied) {
        if (step.ready().isolated()) {
            return IdleReason.ISOLATION;
        }
        boolean overdue = occupied.stream().allMatch(room -> room.awaitsOnlyOverdueRuns(step, nowMillis));
        return overdue ? IdleReason.OVERDUE_RUN : IdleReason.NO_ROOM;
    }

    private IdleReason reasonOfTasks(WaitingStep step, List<WorkerRoom> eligible) {
        ReadyStep ready = step.ready();
        List<WorkerRoom> withRoom = eligible.stream()
                .filter(room -> ready.size().fitsIn(room.availableTo(ready, nowMillis)))
                .toList();
        boolean ticket = !ready.requiresAdvice()
                || withRoom.stream().anyMatch(room -> advice.of(step.id()).hasTicket(room.id(), nowMillis));
        if (!withRoom.isEmpty() && ticket) {
            return IdleReason.START_UNDER_WAY;
        }
        if (awaitsCaller(step)) {
            return IdleReason.NO_CALLER;
        }
        if (!withRoom.isEmpty()) {
            return IdleReason.NO_TICKET;
        }
        boolean reserved = eligible.stream()
                .anyMatch(room -> ready.size().fitsIn(room.worker().freeCapacity()));
        return reserved ? IdleReason.ROOM_RESERVED : IdleReason.NO_ROOM;
    }

    private int tasksReserved(WaitingStep step) {
        return placement.reservations().targets(step).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    private IdleStatus.IdleJob report(IdleJobs.OpenJob job, Optional<WaitingStep> step, IdleReason reason) {
        StepId id = step.map(WaitingStep::id)
                .orElseGet(() -> job.readySteps().iterator().next());
        Set<WorkerRoom> reserved = step.map(
                        waiting -> placement.reservations().targets(waiting).keySet())
                .orElse(Set.of());
        List<WorkerRoom> eligible = step.map(this::eligible).orElse(List.of());
        Collection<WorkerRoom> occupied = reserved.isEmpty() ? eligible : reserved;
        return new IdleStatus.IdleJob(
                id,
                job.job().queue().getName(),
                nowMillis - job.idleSinceMillis(),
                reason,
                (int) job.job().tasks(id.occurrence(), id.step()).stream()
                        .filter(JobTask::awaitsPlacement)
                        .count(),
                step.map(this::tasksReserved).orElse(0),
                reserved.size(),
                step.map(waiting -> placement
                                .advicePlan()
                                .withoutTicket(waiting, nowMillis)
                                .size())
                        .orElse(0),
                step.map(this::unusable).orElse(0),
                step.map(this::readyInMillis).orElse(IdleStatus.UNKNOWN_MILLIS),
                occupied.stream().mapToInt(room -> room.overdueRuns(nowMillis)).sum(),
                eligible.size(),
                freeShare(eligible));
    }

    /** Returns how many workers may run a step, as far as is known, and are not usable. */
    private int unusable(WaitingStep step) {
        ReadyStep ready = step.ready();
        return (int)
                (ready.requiresAdvice()
                        ? step.eligibleRooms().stream()
                                .filter(room -> !room.usable())
                                .count()
                        : workers.trackedWorkers().stream()
                                .filter(worker -> worker.entry()
                                                .incarnation()
                                                .getPool()
                                                .equals(ready.queue().getPool())
                                        && !worker.usable(nowMillis))
                                .count());
    }

    private long readyInMillis(WaitingStep step) {
        long millis = placement.reservations().readyInMillis(step, nowMillis);
        return millis == Long.MAX_VALUE ? IdleStatus.UNKNOWN_MILLIS : millis;
    }

    private static double freeShare(Collection<WorkerRoom> rooms) {
        return share(
                rooms.stream()
                        .mapToLong(
                                room -> Math.max(0, room.worker().freeCapacity().cpuMillis()))
                        .sum(),
                rooms);
    }

    private static double reservedShare(Collection<WorkerRoom> rooms) {
        return share(rooms.stream().mapToLong(WorkerRoom::reservedCpuMillis).sum(), rooms);
    }

    private static double share(long cpuMillis, Collection<WorkerRoom> rooms) {
        long all = rooms.stream()
                .mapToLong(room -> room.worker().capacity().cpuMillis())
                .sum();
        return all == 0 ? 0 : (double) cpuMillis / all;
    }
}
