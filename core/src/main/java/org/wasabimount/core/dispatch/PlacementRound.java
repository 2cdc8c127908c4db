package org.wasabimount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;

/**
 * One pass over the ready steps in scheduling order: places tasks that fit, requests advice and reserves capacity for
 * gangs.
 */
final class PlacementRound {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /** Maximum number of steps considered in one round; steps after them rarely find capacity that these left free. */
    private static final int MAX_STEPS = 120;

    /**
     * Maximum number of steps per round for which tickets are renewed before they are placed; more would only overload
     * the advice service.
     */
    private static final int MAX_TICKET_RENEWALS = 10;

    /** Share of the workers' cores that may be reserved for gangs; the rest always remains available to other tasks. */
    private static final double MAX_RESERVED_SHARE = 0.5;

    private final WorkerManager workers;
    private final AdviceManager advice;
    private final Consumer<DispatchAction> actions;
    private final ExaminedCounts examined;
    private final long nowMillis;
    private final Placer placer;
    private final List<TrackedWorker> usable;
    private double reservableCpuMillis;
    private boolean reserved;
    private int ticketRenewals;

    PlacementRound(
            WorkerManager workers,
            AdviceManager advice,
            Consumer<DispatchAction> actions,
            ExaminedCounts examined,
            long nowMillis) {
        this.workers = workers;
        this.advice = advice;
        this.actions = actions;
        this.examined = examined;
        examined.add(ExaminedCounts.Part.ROUND, workers.trackedWorkers().size());
        this.nowMillis = nowMillis;
        this.usable = workers.trackedWorkers().stream()
                .filter(trackedWorker -> trackedWorker.usable(nowMillis))
                .toList();
        this.placer = new Placer(usable, examined);
        this.reservableCpuMillis = MAX_RESERVED_SHARE
                * usable.stream()
                        .mapToLong(trackedWorker ->
                                trackedWorker.entry().capacity().cpuMillis())
                        .sum();
    }

    void run(List<ReadyStep> ready) {
        ready.stream().limit(MAX_STEPS).forEach(this::consider);
    }

    private void consider(ReadyStep step) {
        Predicate<TrackedWorker> fits = trackedWorker -> trackedWorker
                        .entry()
                        .incarnation()
                        .getPool()
                        .equals(step.queue().getPool())
                && trackedWorker.hasLabel(step.step().getRequiredLabel())
                && !failedRecently(step, trackedWorker);
        Predicate<TrackedWorker> allowed =
                step.requiresAdvice() ? fits.and(trackedWorker -> hasTicket(step, trackedWorker)) : fits;
        Map<JobTask, TrackedWorker> chosen = placer.choose(step, allowed);
        if (!chosen.isEmpty()) {
            place(step, chosen);
        }
        if (chosen.size() < step.waiting().size()) {
            prepareRemaining(step, fits);
        }
    }

    private boolean failedRecently(ReadyStep step, TrackedWorker trackedWorker) {
        return step.waiting().stream()
                .peek(task -> examined.add(ExaminedCounts.Part.ROUND, 1))
                .anyMatch(task ->
                        workers.failedOn(task.id(), trackedWorker.entry().id(), nowMillis));
    }

    private boolean hasTicket(ReadyStep step, TrackedWorker trackedWorker) {
        examined.add(ExaminedCounts.Part.ROUND, 1);
        return advice.ticket(step.id(), trackedWorker.entry().id(), nowMillis).isPresent();
    }

    private void place(ReadyStep step, Map<JobTask, TrackedWorker> chosen) {
        int gangRun = 1 + step.waiting().stream().mapToInt(JobTask::run).max().orElse(0);
        PlaceRuns.Builder command = PlaceRuns.newBuilder();
        chosen.forEach((task, trackedWorker) -> {
            RunId run = new RunId(task.id(), step.gang() ? gangRun : task.run() + 1);
            IncarnationId incarnation = trackedWorker.entry().id();
            workers.propose(
                    run,
                    trackedWorker,
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
                        .map(trackedWorker -> trackedWorker.entry().id().worker())
                        .distinct()
                        .toList(),
                Long.toString(step.latestStartMillis() - nowMillis));
        actions.accept(new DispatchAction.Propose(
                JobCommand.newBuilder().setPlace(command).build()));
    }

    private void prepareRemaining(ReadyStep step, Predicate<TrackedWorker> fits) {
        Predicate<TrackedWorker> mayRun = step.requiresAdvice()
                ? fits.and(trackedWorker ->
                        advice.eligible(step.id(), trackedWorker.entry().id()))
                : fits;
        boolean eligibilityKnown = !step.requiresAdvice() || advice.answered(step.id());
        if (eligibilityKnown && step.gang()) {
            reserveForGang(step, mayRun);
        } else if (step.requiresAdvice()) {
            renewTickets(step, fits);
        }
    }

    private void reserveForGang(ReadyStep step, Predicate<TrackedWorker> mayRun) {
        List<TrackedWorker> targets = placer.reserve(step, mayRun, nowMillis);
        if (targets.isEmpty()) {
            renewTickets(
                    step,
                    trackedWorker -> mayRun.test(trackedWorker)
                            || !advice.ineligible(
                                    step.id(), trackedWorker.entry().id()));
            return;
        }
        Map<TrackedWorker, Long> counts = targets.stream()
                .collect(Collectors.groupingBy(
                        trackedWorker -> trackedWorker, LinkedHashMap::new, Collectors.counting()));
        long readyInMillis = counts.entrySet().stream()
                .mapToLong(target ->
                        placer.earliestFitMillis(target.getKey(), step.size().times(target.getValue()), nowMillis))
                .max()
                .orElse(Long.MAX_VALUE);
        reserveCapacity(step.size(), targets);
        int workersToName = Math.min(counts.size(), AdviceManager.MAX_WORKERS_PER_CALL);
        double callMillis = step.requiresAdvice() ? JobPlan.adviceCallMillis(step.queue(), workersToName) : 0;
        if (step.requiresAdvice() && readyInMillis <= callMillis) {
            requestAdvice(step, mostUrgentTickets(step, counts.keySet()), callMillis);
        }
    }

    /** Returns the workers whose tickets to request next; a gang may need more workers than one call can name. */
    private List<TrackedWorker> mostUrgentTickets(ReadyStep step, Collection<TrackedWorker> targets) {
        return targets.stream()
                .sorted(Comparator.comparing(trackedWorker -> hasTicket(step, trackedWorker)))
                .limit(AdviceManager.MAX_WORKERS_PER_CALL)
                .toList();
    }

    private void reserveCapacity(Capacity size, List<TrackedWorker> targets) {
        double requiredCpuMillis = (double) size.cpuMillis() * targets.size();
        // The first gang in order gets its reservation regardless of its size; otherwise a large gang would never
        // start.
        if (!reserved || requiredCpuMillis <= reservableCpuMillis) {
            reserved = true;
            reservableCpuMillis -= requiredCpuMillis;
            targets.forEach(trackedWorker -> placer.allocate(trackedWorker, size));
        }
    }

    /**
     * Renews the tickets of the workers that may run a step, and queries workers that no call has named yet.
     */
    private void renewTickets(ReadyStep step, Predicate<TrackedWorker> fits) {
        boolean firstCall = !advice.answered(step.id());
        if (!firstCall && ticketRenewals >= MAX_TICKET_RENEWALS) {
            return;
        }
        List<AdviceQuery.Candidate> candidates = usable.stream()
                .filter(fits)
                .filter(trackedWorker ->
                        !advice.ineligible(step.id(), trackedWorker.entry().id()) && !hasTicket(step, trackedWorker))
                .map(trackedWorker -> new AdviceQuery.Candidate(
                        trackedWorker,
                        advice.eligible(step.id(), trackedWorker.entry().id()),
                        Placer.nearData(step, trackedWorker),
                        step.size().timesIn(placer.freeCapacity(trackedWorker))))
                .filter(candidate -> firstCall || candidate.tasksThatFit() > 0)
                .toList();
        List<TrackedWorker> workersToQuery =
                AdviceQuery.select(candidates, step.waiting().size());
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
