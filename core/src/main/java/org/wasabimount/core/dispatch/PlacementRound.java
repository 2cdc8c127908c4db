package org.wasabimount.core.dispatch;

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

/** One pass over the ready steps, in order: places what fits, asks for advice, and keeps room for gangs. */
final class PlacementRound {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /** Steps that are looked at in one round; those behind them rarely find room that these left. */
    private static final int MAX_STEPS = 120;

    /** Steps that may hold valid tickets without having room yet; more would only wear out the advice service. */
    private static final int MAX_RENEWING = 10;

    /** Share of the workers' cores that may be kept for gangs; the rest goes on working in any case. */
    private static final double MAX_RESERVED_SHARE = 0.5;

    private final WorkerManager workers;
    private final AdviceManager advice;
    private final Consumer<DispatchAction> out;
    private final long nowMillis;
    private final Placer placer;
    private final List<TrackedWorker> usable;
    private double reservableCpuMillis;
    private boolean reserved;
    private int renewing;

    PlacementRound(WorkerManager workers, AdviceManager advice, Consumer<DispatchAction> out, long nowMillis) {
        this.workers = workers;
        this.advice = advice;
        this.out = out;
        this.nowMillis = nowMillis;
        this.usable =
                workers.links().stream().filter(link -> link.usable(nowMillis)).toList();
        this.placer = new Placer(usable);
        this.reservableCpuMillis = MAX_RESERVED_SHARE
                * usable.stream()
                        .mapToLong(link -> link.entry().capacity().cpuMillis())
                        .sum();
    }

    void run(List<ReadyStep> ready) {
        ready.stream().limit(MAX_STEPS).forEach(this::consider);
    }

    private void consider(ReadyStep step) {
        Predicate<TrackedWorker> fits =
                link -> link.entry().incarnation().getPool().equals(step.queue().getPool())
                        && link.has(step.step().getRequiredLabel())
                        && !failedThere(step, link);
        Predicate<TrackedWorker> allowed = step.advised() ? fits.and(link -> hasTicket(step, link)) : fits;
        Map<JobTask, TrackedWorker> chosen = placer.choose(step, allowed);
        if (!chosen.isEmpty()) {
            place(step, chosen);
        }
        if (chosen.size() < step.waiting().size()) {
            waitOn(step, fits);
        }
    }

    private boolean failedThere(ReadyStep step, TrackedWorker link) {
        return step.waiting().stream()
                .anyMatch(task -> workers.failedOn(task.id(), link.entry().id(), nowMillis));
    }

    private boolean hasTicket(ReadyStep step, TrackedWorker link) {
        return advice.ticket(step.id(), link.entry().id(), nowMillis).isPresent();
    }

    private void place(ReadyStep step, Map<JobTask, TrackedWorker> chosen) {
        int gangRun = 1 + step.waiting().stream().mapToInt(JobTask::run).max().orElse(0);
        PlaceRuns.Builder command = PlaceRuns.newBuilder();
        chosen.forEach((task, link) -> {
            RunId run = new RunId(task.id(), step.gang() ? gangRun : task.run() + 1);
            IncarnationId incarnation = link.entry().id();
            workers.propose(
                    run, link, advice.ticket(step.id(), incarnation, nowMillis).orElse(""));
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
                        .map(link -> link.entry().id().worker())
                        .distinct()
                        .toList(),
                Long.toString(step.latestStartMillis() - nowMillis));
        out.accept(new DispatchAction.Propose(
                JobCommand.newBuilder().setPlace(command).build()));
    }

    private void waitOn(ReadyStep step, Predicate<TrackedWorker> fits) {
        Predicate<TrackedWorker> mayRun = step.advised()
                ? fits.and(link -> advice.good(step.id(), link.entry().id()))
                : fits;
        boolean asked = !step.advised() || advice.answered(step.id());
        if (asked && step.gang()) {
            waitForGang(step, mayRun);
        } else if (step.advised()) {
            renew(step, fits);
        }
    }

    private void waitForGang(ReadyStep step, Predicate<TrackedWorker> mayRun) {
        List<TrackedWorker> targets = placer.reserve(step, mayRun, nowMillis);
        if (targets.isEmpty()) {
            renew(
                    step,
                    link -> mayRun.test(link)
                            || !advice.bad(step.id(), link.entry().id()));
            return;
        }
        Map<TrackedWorker, Long> counts = targets.stream()
                .collect(Collectors.groupingBy(link -> link, LinkedHashMap::new, Collectors.counting()));
        long readyInMillis = counts.entrySet().stream()
                .mapToLong(target ->
                        placer.millisUntil(target.getKey(), step.size().times(target.getValue()), nowMillis))
                .max()
                .orElse(Long.MAX_VALUE);
        keepRoom(step.size(), targets);
        double askMillis = step.advised() ? JobPlan.adviceMillis(step.queue(), counts.size()) : 0;
        if (step.advised() && readyInMillis <= askMillis) {
            ask(step, List.copyOf(counts.keySet()), askMillis);
        }
    }

    private void keepRoom(Capacity size, List<TrackedWorker> targets) {
        double wanted = (double) size.cpuMillis() * targets.size();
        // The first gang in order gets its room however large it is, or it would never start.
        if (!reserved || wanted <= reservableCpuMillis) {
            reserved = true;
            reservableCpuMillis -= wanted;
            targets.forEach(link -> placer.take(link, size));
        }
    }

    /** Asks again about the workers that may run a step, or about all while nothing is known. */
    private void renew(ReadyStep step, Predicate<TrackedWorker> fits) {
        boolean first = !advice.answered(step.id());
        if (!first && renewing >= MAX_RENEWING) {
            return;
        }
        List<TrackedWorker> worthAsking = usable.stream()
                .filter(fits)
                .filter(link -> !advice.bad(step.id(), link.entry().id()) && !hasTicket(step, link))
                .filter(link -> first || step.size().fitsIn(placer.room(link)))
                .toList();
        if (worthAsking.isEmpty()) {
            return;
        }
        renewing += first ? 0 : 1;
        ask(step, worthAsking, JobPlan.adviceMillis(step.queue(), worthAsking.size()));
    }

    private void ask(ReadyStep step, List<TrackedWorker> named, double costMillis) {
        if (!advice.asking(step.id())) {
            List<IncarnationId> lives =
                    named.stream().map(link -> link.entry().id()).toList();
            advice.ask(step.id(), lives, costMillis, nowMillis).ifPresent(out);
        }
    }
}
