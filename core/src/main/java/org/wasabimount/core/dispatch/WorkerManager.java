package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.EndWorker;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * Carries committed placements to the workers: leases, starts, stops, and the ends that workers list.
 *
 * <p>The load it answers: orders without an answer, which may be carried out seconds later; workers that vanish and come
 * back as another life; and a leader that takes over runs it did not start. A run is given up only when the worker's
 * list, the end of its lease or a new life proves that it is over.
 */
final class WorkerManager {

    private static final System.Logger LOG = System.getLogger("wasabimount.worker");

    /** How long a worker may hold back its list until something ends, in milliseconds; bounds how late a cut is seen. */
    private static final long LIST_WAIT_MILLIS = 500;

    /** Pause before a call that failed is made again, in milliseconds; a fraction of the shortest objective. */
    private static final long RETRY_MILLIS = 200;

    /** Starts without an answer after which the run is stopped instead. */
    private static final int MAX_STARTS = 4;

    /** How long a task avoids a worker on which it failed, in milliseconds; then any worker is better than none. */
    private static final long AVOID_MILLIS = 1_500;

    /** Silence after which a worker whose lease is over is forgotten, in milliseconds; several missed announcements. */
    private static final long FORGET_WORKER_MILLIS = 15_000;

    /** How long after its start's answer a run must be in every list, in milliseconds; covers answers that overtake. */
    private static final long LISTED_AFTER_MILLIS = 500;

    /** Runs of a task after which it stays where it is slow: some tasks take far longer than declared anywhere. */
    private static final int MAX_MOVED_RUN = 3;

    private final DispatchSettings settings;
    private final JobTable table;
    private final long fence;
    private final Consumer<DispatchAction> out;
    private final Map<IncarnationId, TrackedWorker> links = new LinkedHashMap<>();
    private final Set<TaskId> proposing = new HashSet<>();
    private final Map<TaskId, Map<IncarnationId, Long>> failedOn = new HashMap<>();
    private final SlowWorkerDetector paces = new SlowWorkerDetector();

    WorkerManager(DispatchSettings settings, JobTable table, long fence, Consumer<DispatchAction> out, long nowMillis) {
        this.settings = settings;
        this.table = table;
        this.fence = fence;
        this.out = out;
        table.workers().forEach(worker -> adopt(worker, nowMillis));
    }

    private void adopt(WorkerEntry worker, long nowMillis) {
        TrackedWorker link = new TrackedWorker(worker, settings.leaseMillis(), nowMillis);
        links.put(worker.id(), link);
        for (var id : table.placedOn(worker.id())) {
            JobTask task = table.task(id).orElseThrow();
            link.add(new TrackedRun(
                    new RunId(id, task.run()), worker.id(), step(id.stepId()), TrackedRun.State.INHERITED));
        }
    }

    Collection<TrackedWorker> links() {
        return links.values();
    }

    Optional<TrackedWorker> link(IncarnationId incarnation) {
        return Optional.ofNullable(links.get(incarnation));
    }

    void seen(WorkerEntry worker, long nowMillis) {
        TrackedWorker link = links.get(worker.id());
        if (link == null) {
            links.put(worker.id(), new TrackedWorker(worker, settings.leaseMillis(), nowMillis));
        } else {
            link.entry(worker);
        }
    }

    void ended(IncarnationId incarnation) {
        links.remove(incarnation);
    }

    /** Holds room for a run whose placement is being committed. */
    void propose(RunId run, TrackedWorker link, String ticket) {
        proposing.add(run.task());
        link.add(new TrackedRun(run, link.entry().id(), step(run.task().stepId()), TrackedRun.State.PROPOSED)
                .withTicket(ticket));
    }

    /** Takes back the room of a placement that changed nothing. */
    void refused(RunId run, IncarnationId incarnation) {
        proposing.remove(run.task());
        link(incarnation).ifPresent(link -> {
            TrackedRun control = link.run(run);
            if (control != null && control.state() == TrackedRun.State.PROPOSED) {
                link.remove(run);
            }
        });
    }

    /** Tells whether a placement of the task is being committed. */
    boolean proposing(TaskId task) {
        return proposing.contains(task);
    }

    /** Tells whether the task has failed on a worker lately. */
    boolean failedOn(TaskId task, IncarnationId incarnation, long nowMillis) {
        Long failedMillis = failedOn.getOrDefault(task, Map.of()).get(incarnation);
        return failedMillis != null && nowMillis - failedMillis < AVOID_MILLIS;
    }

    void placed(RunId run, IncarnationId incarnation, long nowMillis) {
        proposing.remove(run.task());
        control(run, incarnation).ifPresent(control -> control.startAt(nowMillis));
    }

    void released(RunId run, IncarnationId incarnation, long nowMillis) {
        link(incarnation).ifPresent(link -> link.remove(run));
        JobTask task = table.task(run.task()).orElse(null);
        boolean brokenGang =
                task != null && !task.done() && step(run.task().stepId()).getGang();
        if (brokenGang) {
            stopGang(run, nowMillis);
        }
    }

    void jobEnded(Job job, long nowMillis) {
        failedOn.keySet().removeIf(task -> task.job().equals(job.id()));
        runs().filter(control -> control.id().task().job().equals(job.id()))
                .filter(control ->
                        !table.task(control.id().task()).map(JobTask::done).orElse(false))
                .forEach(control -> stop(control, nowMillis));
    }

    /** Sends what is due: leases, starts, stops. */
    void tick(long nowMillis) {
        List.copyOf(links.values()).forEach(link -> {
            if (link.holdDue(nowMillis)) {
                hold(link, nowMillis);
            }
            if (link.misses() > 0 && link.clock().lapsed(nowMillis)) {
                loseAll(link, nowMillis);
                if (link.silentMillis(nowMillis) > FORGET_WORKER_MILLIS) {
                    endLife(link, "it was silent for " + FORGET_WORKER_MILLIS + " ms");
                }
            }
            List.copyOf(link.runs()).forEach(control -> send(link, control, nowMillis));
        });
    }

    private void hold(TrackedWorker link, long nowMillis) {
        link.holdSent();
        // The first list is wanted at once: without it nothing may be placed.
        long waitMillis = link.listed() ? LIST_WAIT_MILLIS : 0;
        // A later life under the same id numbers its ends anew: nothing is acknowledged while one may be answering.
        long offset = link.listed() && link.misses() == 0 ? link.entry().offset() : 0;
        out.accept(
                new DispatchAction.RenewLease(link.entry(), link.clock().grant(nowMillis), fence, offset, waitMillis));
    }

    private void send(TrackedWorker link, TrackedRun control, long nowMillis) {
        if (!control.due(nowMillis)) {
            return;
        }
        if (control.state() == TrackedRun.State.TO_START) {
            if (link.startable()) {
                start(link, control, nowMillis);
            }
        } else if (control.state() == TrackedRun.State.TO_STOP) {
            control.stopping();
            out.accept(new DispatchAction.Stop(control.id(), link.entry(), fence));
        }
    }

    private void start(TrackedWorker link, TrackedRun control, long nowMillis) {
        Optional<Job> job = table.job(control.id().task().job());
        if (job.isEmpty() || !job.get().open() || control.tries() >= MAX_STARTS) {
            stop(control, nowMillis);
            return;
        }
        String saved = savedProgress(job.get(), control);
        control.starting(!saved.isEmpty());
        out.accept(new DispatchAction.Start(
                control.id(),
                link.entry(),
                job.get().spec().getPayload(),
                link.clock().grant(nowMillis),
                fence,
                saved,
                control.ticket()));
    }

    private static String savedProgress(Job job, TrackedRun control) {
        var id = control.id().task();
        if (!control.step().getGang()) {
            return job.tasks(id.occurrence(), id.step()).get(id.index()).saved();
        }
        // Every task of a gang resumes from the same progress.
        return job.tasks(id.occurrence(), id.step()).stream()
                .map(JobTask::saved)
                .filter(saved -> !saved.isEmpty())
                .findFirst()
                .orElse("");
    }

    void startAnswered(
            RunId run, IncarnationId incarnation, OrderOutcome answer, OptionalLong clockMillis, long nowMillis) {
        TrackedWorker link = links.get(incarnation);
        if (link == null) {
            return;
        }
        clockMillis.ifPresent(clock -> link.clock().read(clock, nowMillis));
        TrackedRun control = link.run(run);
        if (answer == OrderOutcome.OTHER_LIFE) {
            endLife(link, "another life answers at its address");
            return;
        }
        if (control == null || control.state() != TrackedRun.State.STARTING) {
            return;
        }
        control.unanswered(answer == OrderOutcome.NO_ANSWER);
        switch (answer) {
            case DONE -> control.runs(nowMillis);
            case NO_ANSWER, NOT_SENT -> {
                noteMiss(link, "start", answer);
                link.missed();
                control.startAt(nowMillis + RETRY_MILLIS);
            }
            case SUPERSEDED -> control.settle(nowMillis);
            case FENCED -> control.startAt(nowMillis + RETRY_MILLIS);
            default -> notStarted(link, control, answer, nowMillis);
        }
    }

    private void notStarted(TrackedWorker link, TrackedRun control, OrderOutcome answer, long nowMillis) {
        LOG.log(
                System.Logger.Level.INFO,
                "START run={0} worker={1} refused={2} unanswered={3}",
                control.id(),
                control.incarnation(),
                answer,
                control.unanswered());
        if (answer == OrderOutcome.UNWELL) {
            link.health().unwell(nowMillis);
        }
        if (control.unanswered()) {
            stop(control, nowMillis);
        } else {
            lose(List.of(control));
        }
        if (control.step().getGang()) {
            stopGang(control.id(), nowMillis);
        }
    }

    void stopAnswered(
            RunId run, IncarnationId incarnation, OrderOutcome answer, OptionalLong clockMillis, long nowMillis) {
        TrackedWorker link = links.get(incarnation);
        if (link == null) {
            return;
        }
        clockMillis.ifPresent(clock -> link.clock().read(clock, nowMillis));
        if (answer == OrderOutcome.OTHER_LIFE) {
            endLife(link, "another life answers at its address");
            return;
        }
        TrackedRun control = link.run(run);
        if (control == null || control.state() != TrackedRun.State.STOPPING) {
            return;
        }
        if (answer == OrderOutcome.DONE || answer == OrderOutcome.SUPERSEDED) {
            control.settle(nowMillis);
        } else {
            control.stopAt(nowMillis + RETRY_MILLIS);
        }
    }

    void holdAnswered(IncarnationId incarnation, LeaseRenewalResult answer, long askedMillis, long nowMillis) {
        TrackedWorker link = links.get(incarnation);
        if (link == null) {
            return;
        }
        if (answer.outcome() == OrderOutcome.OTHER_LIFE) {
            endLife(link, "another worker answers at its address");
            return;
        }
        boolean laterLife = answer.outcome() == OrderOutcome.DONE
                && answer.bornMillis() > 0
                && answer.bornMillis() != incarnation.bornMillis();
        if (laterLife) {
            laterLifeAnswered(link, answer, nowMillis);
            return;
        }
        if (answer.outcome() != OrderOutcome.DONE) {
            noteMiss(link, "hold", answer.outcome());
            link.holdAnswered(false, nowMillis + RETRY_MILLIS, nowMillis);
            return;
        }
        if (link.misses() > 0) {
            LOG.log(System.Logger.Level.INFO, "WORKER regained worker={0} misses={1}", incarnation, link.misses());
        }
        link.clock().read(answer.clockMillis(), nowMillis);
        link.holdAnswered(true, nowMillis, nowMillis);
        link.listed(true);
        noteEnds(link, answer.ended(), nowMillis);
        noteRunning(link, answer, askedMillis, nowMillis);
    }

    /** Logs the first call without an answer: nothing is placed on the worker until it lists its runs again. */
    private static void noteMiss(TrackedWorker link, String call, OrderOutcome answer) {
        if (link.misses() == 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER lost worker={0} call={1} answer={2}",
                    link.entry().id(),
                    call,
                    answer);
        }
    }

    /** Ends a life whose id lives on, once nothing that was meant for it runs in the later life. */
    private void laterLifeAnswered(TrackedWorker link, LeaseRenewalResult answer, long nowMillis) {
        link.reborn();
        List<RunId> strays = answer.running().stream()
                .map(LeaseRenewalResult.RunProgress::run)
                .filter(run -> link.run(run) != null)
                .toList();
        strays.forEach(run -> stopStray(link, run));
        if (strays.isEmpty() && !link.starting() && !link.ending()) {
            noteEndsInLaterLife(link, answer.ended());
            endLife(link, "it lives again");
        }
        link.holdAnswered(false, nowMillis + RETRY_MILLIS, nowMillis);
    }

    /**
     * Notes the ends of runs that were meant for a life and taken by a later one, before the end of the life would have
     * their tasks run again. The later life lists them once more when it is known itself.
     */
    private void noteEndsInLaterLife(TrackedWorker link, List<LeaseRenewalResult.RunEnd> ended) {
        List<LeaseRenewalResult.RunEnd> taken =
                ended.stream().filter(end -> link.run(end.run()) != null).toList();
        if (!taken.isEmpty()) {
            proposeEnds(link, taken, link.proposedOffset() + 1);
        }
    }

    /**
     * Tells whether a later life has to be looked at before its earlier one is ended.
     *
     * @param later the later life
     * @return true if an order for the earlier life may have been taken by the later one
     */
    boolean looksFirst(WorkerLife later) {
        List<TrackedWorker> earlier = links.values().stream()
                .filter(link -> link.entry().incarnation().getWorker().equals(later.getWorker())
                        && link.entry().incarnation().getAddress().equals(later.getAddress())
                        && link.entry().id().bornMillis() < later.getBornMillis()
                        && link.mayHaveOrdered())
                .toList();
        earlier.forEach(TrackedWorker::reborn);
        return !earlier.isEmpty();
    }

    private void noteEnds(TrackedWorker link, List<LeaseRenewalResult.RunEnd> ended, long nowMillis) {
        List<LeaseRenewalResult.RunEnd> news = ended.stream()
                .filter(end -> end.offset() > link.proposedOffset())
                .toList();
        if (news.isEmpty()) {
            return;
        }
        news.forEach(end -> judge(link, end, nowMillis));
        long offset =
                news.stream().mapToLong(LeaseRenewalResult.RunEnd::offset).max().orElse(0);
        proposeEnds(link, news, offset);
    }

    private void proposeEnds(TrackedWorker link, List<LeaseRenewalResult.RunEnd> ended, long offset) {
        EndRuns.Builder command = EndRuns.newBuilder()
                .setWorker(link.entry().id().worker())
                .setBornMillis(link.entry().id().bornMillis())
                .setOffset(offset);
        ended.forEach(end -> command.addEnds(End.newBuilder()
                .setTask(end.run().task().toKey())
                .setRun(end.run().number())
                .setKind(end.kind())
                .setSaved(end.saved())));
        link.proposed(offset);
        propose(JobCommand.newBuilder().setEnd(command).build());
    }

    private void judge(TrackedWorker link, LeaseRenewalResult.RunEnd end, long nowMillis) {
        if (end.kind() == EndKind.DONE) {
            link.health().succeeded();
        } else if (end.kind() == EndKind.FAILED) {
            boolean failedElsewhere =
                    table.task(end.run().task()).map(JobTask::failures).orElse(0) > 0;
            failedOn.computeIfAbsent(end.run().task(), absent -> new HashMap<>())
                    .put(link.entry().id(), nowMillis);
            if (!failedElsewhere) {
                link.health().failed(nowMillis);
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "RUN failed run={0} worker={1} failedElsewhere={2}",
                    end.run(),
                    link.entry().id(),
                    failedElsewhere);
        }
    }

    private void noteRunning(TrackedWorker link, LeaseRenewalResult answer, long askedMillis, long nowMillis) {
        Map<RunId, LeaseRenewalResult.RunProgress> running = answer.running().stream()
                .collect(Collectors.toMap(LeaseRenewalResult.RunProgress::run, row -> row, (one, other) -> other));
        Set<RunId> ended =
                answer.ended().stream().map(LeaseRenewalResult.RunEnd::run).collect(Collectors.toSet());
        List<TrackedRun> absent = new ArrayList<>();
        List<SlowWorkerDetector.Measure> measured = new ArrayList<>();
        for (TrackedRun control : List.copyOf(link.runs())) {
            LeaseRenewalResult.RunProgress row = running.get(control.id());
            if (row != null) {
                goesOn(control, row, nowMillis)
                        .ifPresent(pace -> measured.add(new SlowWorkerDetector.Measure(control, pace)));
            } else if (!ended.contains(control.id())) {
                missing(control, askedMillis, nowMillis).ifPresent(absent::add);
            }
        }
        lose(absent);
        leaveSlow(link, paces.slow(measured), nowMillis);
        running.values().stream().filter(row -> link.run(row.run()) == null).forEach(row -> stopStray(link, row.run()));
    }

    /** Stops the runs of a worker that is much slower than others, to run them elsewhere, and leaves it alone for a while. */
    private void leaveSlow(TrackedWorker link, List<TrackedRun> slow, long nowMillis) {
        if (slow.isEmpty()) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER slow worker={0} runs={1}",
                link.entry().id(),
                slow.stream().map(TrackedRun::id).toList());
        link.health().unwell(nowMillis);
        slow.stream()
                .filter(control -> control.id().number() < MAX_MOVED_RUN)
                .forEach(control -> stop(control, nowMillis));
    }

    private OptionalDouble goesOn(TrackedRun control, LeaseRenewalResult.RunProgress row, long nowMillis) {
        if (!control.state().ending() && control.state() != TrackedRun.State.RUNNING) {
            control.runs(nowMillis);
        }
        OptionalDouble pace = control.progress(row.saved(), row.percent(), nowMillis);
        boolean unwanted = !table.job(control.id().task().job()).map(Job::open).orElse(false);
        if (unwanted && !control.state().ending()) {
            stop(control, nowMillis);
        }
        return pace;
    }

    /** Handles a run that is neither running nor ended in a list; returns it if it surely is not there. */
    private Optional<TrackedRun> missing(TrackedRun control, long askedMillis, long nowMillis) {
        if (control.settledBy(askedMillis)) {
            return Optional.of(control);
        }
        if (control.state() == TrackedRun.State.INHERITED) {
            control.startAt(nowMillis);
        } else if (control.state() == TrackedRun.State.RUNNING
                && askedMillis > control.startedMillis() + LISTED_AFTER_MILLIS) {
            stop(control, nowMillis);
        }
        return Optional.empty();
    }

    /** Stops a run that the table does not know as current, such as an order of the past carried out late. */
    private void stopStray(TrackedWorker link, RunId run) {
        LOG.log(
                System.Logger.Level.INFO,
                "STOP run={0} worker={1} reason=not placed here",
                run,
                link.entry().id());
        out.accept(new DispatchAction.Stop(run, link.entry(), fence));
    }

    private void stopGang(RunId member, long nowMillis) {
        runs().filter(control -> control.id().number() == member.number()
                        && control.id().task().stepId().equals(member.task().stepId())
                        && !control.id().equals(member))
                .forEach(control -> stop(control, nowMillis));
    }

    private void stop(TrackedRun control, long nowMillis) {
        if (control.state().ending() || control.state() == TrackedRun.State.PROPOSED) {
            return;
        }
        boolean neverSent =
                control.state() == TrackedRun.State.TO_START && control.tries() == 0 && !control.unanswered();
        if (neverSent) {
            lose(List.of(control));
        } else {
            control.stopAt(nowMillis);
        }
    }

    private void loseAll(TrackedWorker link, long nowMillis) {
        List<TrackedRun> gone = link.runs().stream()
                .filter(control ->
                        control.state() != TrackedRun.State.PROPOSED && control.state() != TrackedRun.State.LOSING)
                .toList();
        if (!gone.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER lapsed worker={0} runs={1} at={2}",
                    link.entry().id(),
                    gone.size(),
                    nowMillis);
            lose(gone);
        }
    }

    private void lose(List<TrackedRun> gone) {
        if (gone.isEmpty()) {
            return;
        }
        LoseRuns.Builder command = LoseRuns.newBuilder();
        gone.forEach(control -> {
            control.losing();
            command.addRuns(control.id().toKey(control.saved()));
        });
        propose(JobCommand.newBuilder().setLose(command).build());
    }

    /** Ends a life that is proved to be over; its runs wait again. */
    void endLife(TrackedWorker link, String reason) {
        if (link.ending()) {
            return;
        }
        link.end();
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER ended worker={0} runs={1} reason={2}",
                link.entry().id(),
                link.runs().size(),
                reason);
        propose(JobCommand.newBuilder()
                .setEndWorker(EndWorker.newBuilder()
                        .setWorker(link.entry().id().worker())
                        .setBornMillis(link.entry().id().bornMillis()))
                .build());
    }

    private void propose(JobCommand command) {
        out.accept(new DispatchAction.Propose(command));
    }

    private Optional<TrackedRun> control(RunId run, IncarnationId incarnation) {
        return link(incarnation).map(link -> link.run(run));
    }

    private Stream<TrackedRun> runs() {
        return List.copyOf(links.values()).stream().flatMap(link -> List.copyOf(link.runs()).stream());
    }

    private Step step(StepId id) {
        return table.job(id.job()).orElseThrow().step(id.step());
    }
}
