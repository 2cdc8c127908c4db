package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;

/**
 * One pass over the ready steps in scheduling order: places tasks that fit, requests advice and reserves capacity for
 * gangs.
 */
final class PlacementRound {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /** Number of steps that every round considers; steps after them rarely find capacity that these left free. */
    private static final int MAX_FIRST_STEPS = 120;

    /** Number of the other steps that a round considers in turn. */
    private static final int OTHER_STEPS = 30;

    /** Maximum number of steps considered in one round. */
    static final int MAX_STEPS = MAX_FIRST_STEPS + OTHER_STEPS;

    /** Share of the workers' cores that may be reserved for gangs; the rest always remains available to other tasks. */
    private static final double MAX_RESERVED_SHARE = 0.5;

    private final WorkerManager workers;
    private final AdviceManager advice;
    private final WaitSampler waits;
    private final Consumer<DispatchAction> actions;
    private final Consumer<TaskId> proposed;
    private final ExaminedCounts examined;
    private final long nowMillis;
    private final Map<String, Placer> placers = new HashMap<>();
    private double reservableCpuMillis;
    private boolean reserved;
    private int ticketRenewals;

    PlacementRound(
            WorkerManager workers,
            AdviceManager advice,
            WaitSampler waits,
            Consumer<DispatchAction> actions,
            Consumer<TaskId> proposed,
            ExaminedCounts examined,
            long nowMillis) {
        this.workers = workers;
        this.advice = advice;
        this.waits = waits;
        this.actions = actions;
        this.proposed = proposed;
        this.examined = examined;
        this.nowMillis = nowMillis;
        examined.add(ExaminedCounts.Part.ROUND, workers.trackedWorkers().size());
        Map<String, List<TrackedWorker>> usable = workers.trackedWorkers().stream()
                .filter(trackedWorker -> trackedWorker.usable(nowMillis))
                .collect(Collectors.groupingBy(
                        trackedWorker -> trackedWorker.entry().incarnation().getPool()));
        usable.forEach((pool, poolWorkers) -> placers.put(pool, new Placer(poolWorkers, examined)));
        this.reservableCpuMillis = MAX_RESERVED_SHARE
                * usable.values().stream()
                        .flatMap(List::stream)
                        .mapToLong(trackedWorker ->
                                trackedWorker.entry().capacity().cpuMillis())
                        .sum();
    }

    /**
     * Considers the first steps in scheduling order, and some of the others in turn: the first ones may be steps that
     * can't be placed for a long time.
     */
    void run(List<ReadyStep> ready, long roundNumber) {
        ready.stream().limit(MAX_FIRST_STEPS).forEach(this::consider);
        int others = ready.size() - MAX_FIRST_STEPS;
        if (others > 0) {
            int offset = (int) (roundNumber * OTHER_STEPS % others);
            IntStream.range(0, Math.min(OTHER_STEPS, others))
                    .mapToObj(number -> ready.get(MAX_FIRST_STEPS + (offset + number) % others))
                    .forEach(this::consider);
        }
    }

    private void consider(ReadyStep step) {
        Placer placer = placers.get(step.queue().getPool());
        if (placer == null) {
            waits.record(step, List.of(), room -> false);
            return;
        }
        examined.add(ExaminedCounts.Part.ROUND, 1);
        String label = step.step().getRequiredLabel();
        Set<IncarnationId> failedRecently = workers.failedRecently(step, nowMillis);
        Predicate<WorkerRoom> suitable = room -> room.worker().hasLabel(label) && !failedRecently.contains(room.id());
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        Map<JobTask, WorkerRoom> chosen = placer.choose(
                step,
                step.requiresAdvice() ? suitable.and(room -> stepAdvice.hasTicket(room.id(), nowMillis)) : suitable);
        if (!chosen.isEmpty()) {
            place(step, chosen);
        }
        if (chosen.size() < step.waiting().size()) {
            waits.record(step, placer.rooms(), suitable);
            prepareRemaining(step, placer, suitable);
        }
    }

    private void place(ReadyStep step, Map<JobTask, WorkerRoom> chosen) {
        int gangRun = 1 + step.waiting().stream().mapToInt(JobTask::run).max().orElse(0);
        PlaceRuns.Builder command = PlaceRuns.newBuilder();
        chosen.forEach((task, room) -> {
            RunId run = new RunId(task.id(), step.gang() ? gangRun : task.run() + 1);
            IncarnationId incarnation = room.id();
            proposed.accept(task.id());
            workers.propose(
                    run,
                    room.worker(),
                    advice.ticket(step.id(), incarnation, nowMillis).orElse(""));
            command.addPlacements(Placement.newBuilder()
                    .setTask(task.id().toKey())
                    .setRun(run.number())
                    .setWorker(incarnation.worker())
                    .setBornMillis(incarnation.bornMillis()));
        });
        LOG.log(
                System.Logger.Level.INFO,
                "PLACE step={0} queue={1} tasks={2} waiting={3} workers={4} slackMillis={5}",
                step.id(),
                step.queue().getName(),
                chosen.size(),
                step.waiting().size(),
                chosen.values().stream()
                        .map(room -> room.id().worker())
                        .distinct()
                        .toList(),
                Long.toString(step.latestStartMillis() - nowMillis));
        actions.accept(new DispatchAction.Propose(
                JobCommand.newBuilder().setPlace(command).build()));
    }

    private void prepareRemaining(ReadyStep step, Placer placer, Predicate<WorkerRoom> suitable) {
        boolean eligibilityKnown = !step.requiresAdvice() || advice.answered(step.id());
        if (eligibilityKnown && step.gang()) {
            reserveForGang(step, placer, suitable);
        } else if (step.requiresAdvice()) {
            renewTickets(step, placer, suitable);
        }
    }

    private void reserveForGang(ReadyStep step, Placer placer, Predicate<WorkerRoom> suitable) {
        boolean mayReserve = mayReserve(step);
        if (!mayReserve && (!step.requiresAdvice() || advice.callInProgress(step.id()))) {
            return;
        }
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        Stream<WorkerRoom> eligible =
                step.requiresAdvice() ? placer.roomsOn(stepAdvice.eligible()) : placer.rooms().stream();
        List<WorkerRoom> candidates = eligible.filter(suitable).toList();
        examined.add(ExaminedCounts.Part.ROUND, candidates.size());
        Map<WorkerRoom, Integer> targets = placer.reserve(step, candidates, nowMillis);
        if (targets.isEmpty()) {
            if (step.requiresAdvice()) {
                renewTickets(step, placer, suitable);
            }
            return;
        }
        long readyInMillis = targets.entrySet().stream()
                .mapToLong(target -> target.getKey().millisUntilFits(step.size().times(target.getValue()), nowMillis))
                .max()
                .orElse(Long.MAX_VALUE);
        if (mayReserve) {
            reserved = true;
            reservableCpuMillis -= requiredCpuMillis(step);
            targets.forEach((room, tasks) -> room.allocate(step.size().times(tasks)));
        }
        if (!step.requiresAdvice()) {
            return;
        }
        int workersToName = Math.min(targets.size(), AdviceManager.maxWorkers(step.queue()));
        double callMillis = JobPlan.adviceCallMillis(step.queue(), workersToName);
        if (readyInMillis <= callMillis && (readyInMillis == 0 || !unnamedWorkerHasRoom(step, placer, suitable))) {
            requestAdvice(step, mostUrgentTickets(stepAdvice, targets.keySet(), workersToName), callMillis);
        } else {
            // Workers that no call has named yet may have room sooner than those known to be eligible.
            renewTickets(step, placer, suitable.and(room -> !stepAdvice.eligible(room.id())));
        }
    }

    /** Returns whether a step fits on a worker that no advice call has named yet. */
    private boolean unnamedWorkerHasRoom(ReadyStep step, Placer placer, Predicate<WorkerRoom> suitable) {
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        examined.add(ExaminedCounts.Part.ROUND, placer.rooms().size());
        return placer.rooms().stream()
                .anyMatch(room -> step.size().fitsIn(room.free())
                        && !stepAdvice.eligible(room.id())
                        && stepAdvice.mayNeedTicket(room.id(), nowMillis)
                        && suitable.test(room));
    }

    /** Returns the workers whose tickets to request next; a gang may need more workers than one call can name. */
    private List<TrackedWorker> mostUrgentTickets(
            AdviceManager.StepAdvice stepAdvice, Collection<WorkerRoom> targets, int workersToName) {
        return targets.stream()
                .map(WorkerRoom::worker)
                .sorted(Comparator.comparing(trackedWorker ->
                        stepAdvice.hasTicket(trackedWorker.entry().id(), nowMillis)))
                .limit(workersToName)
                .toList();
    }

    /**
     * Returns whether capacity may be reserved for a gang. The first gang in order gets its reservation regardless of
     * its size; otherwise a large gang would never start.
     */
    private boolean mayReserve(ReadyStep step) {
        return !reserved || requiredCpuMillis(step) <= reservableCpuMillis;
    }

    private static double requiredCpuMillis(ReadyStep step) {
        return (double) step.size().cpuMillis() * step.waiting().size();
    }

    /**
     * Renews the tickets of the workers that may run a step, and queries workers that no call has named yet.
     */
    private void renewTickets(ReadyStep step, Placer placer, Predicate<WorkerRoom> suitable) {
        AdviceManager.StepAdvice stepAdvice = advice.of(step.id());
        boolean firstCall = !stepAdvice.answered();
        if (!firstCall && (ticketRenewals >= advice.callerCount() || !placer.mayFit(step.size()))) {
            return;
        }
        if (stepAdvice.callInProgress()) {
            ticketRenewals += firstCall ? 0 : 1;
            return;
        }
        if (!advice.callerIdle(JobPlan.adviceCallMillis(step.queue(), 1), nowMillis)) {
            return;
        }
        examined.add(ExaminedCounts.Part.ROUND, placer.rooms().size());
        List<AdviceQuery.Candidate> candidates = placer.rooms().stream()
                .filter(room -> firstCall || step.size().fitsIn(room.free()))
                .filter(suitable)
                .filter(room -> stepAdvice.mayNeedTicket(room.id(), nowMillis))
                .map(room -> new AdviceQuery.Candidate(
                        room.worker(),
                        stepAdvice.eligible(room.id()),
                        Placer.nearData(step, room.worker()),
                        step.size().timesIn(room.free())))
                .toList();
        List<TrackedWorker> workersToQuery =
                AdviceQuery.select(candidates, step.waiting().size(), AdviceManager.maxWorkers(step.queue()));
        if (workersToQuery.isEmpty()) {
            return;
        }
        ticketRenewals += firstCall ? 0 : 1;
        requestAdvice(step, workersToQuery, JobPlan.adviceCallMillis(step.queue(), workersToQuery.size()));
    }

    private void requestAdvice(ReadyStep step, List<TrackedWorker> queriedWorkers, double costMillis) {
        if (!advice.callInProgress(step.id())) {
            List<IncarnationId> incarnations = queriedWorkers.stream()
                    .map(trackedWorker -> trackedWorker.entry().id())
                    .toList();
            advice.requestAdvice(step.id(), incarnations, costMillis, nowMillis).ifPresent(actions);
        }
    }
}
