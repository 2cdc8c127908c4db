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
    private static final int MAX_START_ATTEMPTS = 4;

    /** How long a task avoids a worker on which it failed, in milliseconds; then any worker is better than none. */
    private static final long FAILED_WORKER_AVOIDANCE_MILLIS = 1_500;

    /** Silence after which a worker whose lease is over is forgotten, in milliseconds; several missed announcements. */
    private static final long SILENT_WORKER_REMOVAL_MILLIS = 15_000;

    /** How long after its start's answer a run must be in every list, in milliseconds; covers answers that overtake. */
    private static final long LIST_GRACE_MILLIS = 500;

    /** Runs of a task after which it stays where it is slow: some tasks take far longer than declared anywhere. */
    private static final int RELOCATION_RUN_LIMIT = 3;

    private final DispatchSettings settings;
    private final JobTable table;
    private final long fence;
    private final Consumer<DispatchAction> actions;
    private final Map<IncarnationId, TrackedWorker> trackedWorkers = new LinkedHashMap<>();
    private final Set<TaskId> placementPending = new HashSet<>();
    private final Map<TaskId, Map<IncarnationId, Long>> failedOn = new HashMap<>();
    private final SlowWorkerDetector slowWorkerDetector = new SlowWorkerDetector();

    WorkerManager(
            DispatchSettings settings, JobTable table, long fence, Consumer<DispatchAction> actions, long nowMillis) {
        this.settings = settings;
        this.table = table;
        this.fence = fence;
        this.actions = actions;
        table.workers().forEach(worker -> adopt(worker, nowMillis));
    }

    private void adopt(WorkerEntry worker, long nowMillis) {
        TrackedWorker trackedWorker = new TrackedWorker(worker, settings.leaseMillis(), nowMillis);
        trackedWorkers.put(worker.id(), trackedWorker);
        for (var id : table.placedOn(worker.id())) {
            JobTask task = table.task(id).orElseThrow();
            trackedWorker.add(new TrackedRun(
                    new RunId(id, task.run()), worker.id(), step(id.stepId()), TrackedRun.State.INHERITED));
        }
    }

    Collection<TrackedWorker> trackedWorkers() {
        return trackedWorkers.values();
    }

    Optional<TrackedWorker> trackedWorker(IncarnationId incarnation) {
        return Optional.ofNullable(trackedWorkers.get(incarnation));
    }

    void recordWorker(WorkerEntry worker, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(worker.id());
        if (trackedWorker == null) {
            trackedWorkers.put(worker.id(), new TrackedWorker(worker, settings.leaseMillis(), nowMillis));
        } else {
            trackedWorker.entry(worker);
        }
    }

    void ended(IncarnationId incarnation) {
        trackedWorkers.remove(incarnation);
    }

    /** Holds room for a run whose placement is being committed. */
    void propose(RunId run, TrackedWorker trackedWorker, String ticket) {
        placementPending.add(run.task());
        trackedWorker.add(
                new TrackedRun(run, trackedWorker.entry().id(), step(run.task().stepId()), TrackedRun.State.PROPOSED)
                        .withTicket(ticket));
    }

    /** Takes back the room of a placement that changed nothing. */
    void refused(RunId run, IncarnationId incarnation) {
        placementPending.remove(run.task());
        trackedWorker(incarnation).ifPresent(trackedWorker -> {
            TrackedRun trackedRun = trackedWorker.run(run);
            if (trackedRun != null && trackedRun.state() == TrackedRun.State.PROPOSED) {
                trackedWorker.remove(run);
            }
        });
    }

    /** Tells whether a placement of the task is being committed. */
    boolean placementPending(TaskId task) {
        return placementPending.contains(task);
    }

    /** Tells whether the task has failed on a worker lately. */
    boolean failedOn(TaskId task, IncarnationId incarnation, long nowMillis) {
        Long failedMillis = failedOn.getOrDefault(task, Map.of()).get(incarnation);
        return failedMillis != null && nowMillis - failedMillis < FAILED_WORKER_AVOIDANCE_MILLIS;
    }

    void placed(RunId run, IncarnationId incarnation, long nowMillis) {
        placementPending.remove(run.task());
        trackedRun(run, incarnation).ifPresent(trackedRun -> trackedRun.startAt(nowMillis));
    }

    void released(RunId run, IncarnationId incarnation, long nowMillis) {
        trackedWorker(incarnation).ifPresent(trackedWorker -> trackedWorker.remove(run));
        JobTask task = table.task(run.task()).orElse(null);
        boolean gangBroken =
                task != null && !task.done() && step(run.task().stepId()).getGang();
        if (gangBroken) {
            stopGang(run, nowMillis);
        }
    }

    void jobEnded(Job job, long nowMillis) {
        failedOn.keySet().removeIf(task -> task.job().equals(job.id()));
        runs().filter(trackedRun -> trackedRun.id().task().job().equals(job.id()))
                .filter(trackedRun ->
                        !table.task(trackedRun.id().task()).map(JobTask::done).orElse(false))
                .forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    /** Sends what is due: leases, starts, stops. */
    void tick(long nowMillis) {
        List.copyOf(trackedWorkers.values()).forEach(trackedWorker -> {
            if (trackedWorker.renewalDue(nowMillis)) {
                renewLease(trackedWorker, nowMillis);
            }
            if (trackedWorker.unansweredCalls() > 0 && trackedWorker.clock().expired(nowMillis)) {
                loseAll(trackedWorker, nowMillis);
                if (trackedWorker.silentMillis(nowMillis) > SILENT_WORKER_REMOVAL_MILLIS) {
                    endIncarnation(trackedWorker, "it was silent for " + SILENT_WORKER_REMOVAL_MILLIS + " ms");
                }
            }
            List.copyOf(trackedWorker.runs()).forEach(trackedRun -> send(trackedWorker, trackedRun, nowMillis));
        });
    }

    private void renewLease(TrackedWorker trackedWorker, long nowMillis) {
        trackedWorker.renewalSent();
        // The first list is wanted at once: without it nothing may be placed.
        long waitMillis = trackedWorker.runsListed() ? LIST_WAIT_MILLIS : 0;
        // A later life under the same id numbers its ends anew: nothing is acknowledged while one may be answering.
        long offset = trackedWorker.runsListed() && trackedWorker.unansweredCalls() == 0
                ? trackedWorker.entry().offset()
                : 0;
        actions.accept(new DispatchAction.RenewLease(
                trackedWorker.entry(), trackedWorker.clock().grant(nowMillis), fence, offset, waitMillis));
    }

    private void send(TrackedWorker trackedWorker, TrackedRun trackedRun, long nowMillis) {
        if (!trackedRun.due(nowMillis)) {
            return;
        }
        if (trackedRun.state() == TrackedRun.State.TO_START) {
            if (trackedWorker.canStart()) {
                start(trackedWorker, trackedRun, nowMillis);
            }
        } else if (trackedRun.state() == TrackedRun.State.TO_STOP) {
            trackedRun.stopping();
            actions.accept(new DispatchAction.Stop(trackedRun.id(), trackedWorker.entry(), fence));
        }
    }

    private void start(TrackedWorker trackedWorker, TrackedRun trackedRun, long nowMillis) {
        Optional<Job> job = table.job(trackedRun.id().task().job());
        if (job.isEmpty() || !job.get().open() || trackedRun.startAttempts() >= MAX_START_ATTEMPTS) {
            stop(trackedRun, nowMillis);
            return;
        }
        String saved = savedProgress(job.get(), trackedRun);
        trackedRun.starting(!saved.isEmpty());
        actions.accept(new DispatchAction.Start(
                trackedRun.id(),
                trackedWorker.entry(),
                job.get().spec().getPayload(),
                trackedWorker.clock().grant(nowMillis),
                fence,
                saved,
                trackedRun.ticket()));
    }

    private static String savedProgress(Job job, TrackedRun trackedRun) {
        var id = trackedRun.id().task();
        if (!trackedRun.step().getGang()) {
            return job.tasks(id.occurrence(), id.step()).get(id.index()).saved();
        }
        // Every task of a gang resumes from the same progress.
        return job.tasks(id.occurrence(), id.step()).stream()
                .map(JobTask::saved)
                .filter(saved -> !saved.isEmpty())
                .findFirst()
                .orElse("");
    }

    void startCompleted(
            RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (trackedWorker == null) {
            return;
        }
        clockMillis.ifPresent(clock -> trackedWorker.clock().recordReading(clock, nowMillis));
        TrackedRun trackedRun = trackedWorker.run(run);
        if (result == OrderOutcome.OTHER_LIFE) {
            endIncarnation(trackedWorker, "another life answers at its address");
            return;
        }
        if (trackedRun == null || trackedRun.state() != TrackedRun.State.STARTING) {
            return;
        }
        trackedRun.unanswered(result == OrderOutcome.NO_ANSWER);
        switch (result) {
            case DONE -> trackedRun.runs(nowMillis);
            case NO_ANSWER, NOT_SENT -> {
                logFirstUnansweredCall(trackedWorker, "start", result);
                trackedWorker.recordUnansweredCall();
                trackedRun.startAt(nowMillis + RETRY_MILLIS);
            }
            case SUPERSEDED -> trackedRun.awaitList(nowMillis);
            case FENCED -> trackedRun.startAt(nowMillis + RETRY_MILLIS);
            default -> handleStartRefusal(trackedWorker, trackedRun, result, nowMillis);
        }
    }

    private void handleStartRefusal(
            TrackedWorker trackedWorker, TrackedRun trackedRun, OrderOutcome result, long nowMillis) {
        LOG.log(
                System.Logger.Level.INFO,
                "START run={0} worker={1} refused={2} unanswered={3}",
                trackedRun.id(),
                trackedRun.incarnation(),
                result,
                trackedRun.unanswered());
        if (result == OrderOutcome.UNWELL) {
            trackedWorker.health().quarantine(nowMillis);
        }
        if (trackedRun.unanswered()) {
            stop(trackedRun, nowMillis);
        } else {
            lose(List.of(trackedRun));
        }
        if (trackedRun.step().getGang()) {
            stopGang(trackedRun.id(), nowMillis);
        }
    }

    void stopCompleted(
            RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (trackedWorker == null) {
            return;
        }
        clockMillis.ifPresent(clock -> trackedWorker.clock().recordReading(clock, nowMillis));
        if (result == OrderOutcome.OTHER_LIFE) {
            endIncarnation(trackedWorker, "another life answers at its address");
            return;
        }
        TrackedRun trackedRun = trackedWorker.run(run);
        if (trackedRun == null || trackedRun.state() != TrackedRun.State.STOPPING) {
            return;
        }
        if (result == OrderOutcome.DONE || result == OrderOutcome.SUPERSEDED) {
            trackedRun.awaitList(nowMillis);
        } else {
            trackedRun.stopAt(nowMillis + RETRY_MILLIS);
        }
    }

    void leaseRenewalCompleted(
            IncarnationId incarnation, LeaseRenewalResult result, long requestedMillis, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (trackedWorker == null) {
            return;
        }
        if (result.outcome() == OrderOutcome.OTHER_LIFE) {
            endIncarnation(trackedWorker, "another worker answers at its address");
            return;
        }
        boolean laterIncarnation = result.outcome() == OrderOutcome.DONE
                && result.bornMillis() > 0
                && result.bornMillis() != incarnation.bornMillis();
        if (laterIncarnation) {
            laterIncarnationResponded(trackedWorker, result, nowMillis);
            return;
        }
        if (result.outcome() != OrderOutcome.DONE) {
            logFirstUnansweredCall(trackedWorker, "hold", result.outcome());
            trackedWorker.leaseRenewalCompleted(false, nowMillis + RETRY_MILLIS, nowMillis);
            return;
        }
        if (trackedWorker.unansweredCalls() > 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER regained worker={0} misses={1}",
                    incarnation,
                    trackedWorker.unansweredCalls());
        }
        trackedWorker.clock().recordReading(result.clockMillis(), nowMillis);
        trackedWorker.leaseRenewalCompleted(true, nowMillis, nowMillis);
        trackedWorker.runsListed(true);
        recordEnds(trackedWorker, result.ended(), nowMillis);
        reconcileRuns(trackedWorker, result, requestedMillis, nowMillis);
    }

    /** Logs the first call without an answer: nothing is placed on the worker until it lists its runs again. */
    private static void logFirstUnansweredCall(TrackedWorker trackedWorker, String call, OrderOutcome result) {
        if (trackedWorker.unansweredCalls() == 0) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER lost worker={0} call={1} answer={2}",
                    trackedWorker.entry().id(),
                    call,
                    result);
        }
    }

    /** Ends a life whose id lives on, once nothing that was meant for it runs in the later life. */
    private void laterIncarnationResponded(TrackedWorker trackedWorker, LeaseRenewalResult result, long nowMillis) {
        trackedWorker.replaced();
        List<RunId> strays = result.running().stream()
                .map(LeaseRenewalResult.RunProgress::run)
                .filter(run -> trackedWorker.run(run) != null)
                .toList();
        strays.forEach(run -> stopStray(trackedWorker, run));
        if (strays.isEmpty() && !trackedWorker.starting() && !trackedWorker.ending()) {
            proposeEndsInLaterIncarnation(trackedWorker, result.ended());
            endIncarnation(trackedWorker, "it lives again");
        }
        trackedWorker.leaseRenewalCompleted(false, nowMillis + RETRY_MILLIS, nowMillis);
    }

    /**
     * Notes the ends of runs that were meant for a life and taken by a later one, before the end of the life would have
     * their tasks run again. The later life lists them once more when it is known itself.
     */
    private void proposeEndsInLaterIncarnation(TrackedWorker trackedWorker, List<LeaseRenewalResult.RunEnd> ended) {
        List<LeaseRenewalResult.RunEnd> adoptedEnds = ended.stream()
                .filter(end -> trackedWorker.run(end.run()) != null)
                .toList();
        if (!adoptedEnds.isEmpty()) {
            proposeEnds(trackedWorker, adoptedEnds, trackedWorker.proposedOffset() + 1);
        }
    }

    /**
     * Tells whether a later life has to be looked at before its earlier one is ended.
     *
     * @param later the later life
     * @return true if an order for the earlier life may have been taken by the later one
     */
    boolean mustQueryEarlierIncarnation(WorkerLife later) {
        List<TrackedWorker> earlier = trackedWorkers.values().stream()
                .filter(trackedWorker -> trackedWorker
                                .entry()
                                .incarnation()
                                .getWorker()
                                .equals(later.getWorker())
                        && trackedWorker.entry().incarnation().getAddress().equals(later.getAddress())
                        && trackedWorker.entry().id().bornMillis() < later.getBornMillis()
                        && trackedWorker.mayHaveReceivedOrder())
                .toList();
        earlier.forEach(TrackedWorker::replaced);
        return !earlier.isEmpty();
    }

    private void recordEnds(TrackedWorker trackedWorker, List<LeaseRenewalResult.RunEnd> ended, long nowMillis) {
        List<LeaseRenewalResult.RunEnd> newEnds = ended.stream()
                .filter(end -> end.offset() > trackedWorker.proposedOffset())
                .toList();
        if (newEnds.isEmpty()) {
            return;
        }
        newEnds.forEach(end -> updateHealth(trackedWorker, end, nowMillis));
        long offset = newEnds.stream()
                .mapToLong(LeaseRenewalResult.RunEnd::offset)
                .max()
                .orElse(0);
        proposeEnds(trackedWorker, newEnds, offset);
    }

    private void proposeEnds(TrackedWorker trackedWorker, List<LeaseRenewalResult.RunEnd> ended, long offset) {
        EndRuns.Builder command = EndRuns.newBuilder()
                .setWorker(trackedWorker.entry().id().worker())
                .setBornMillis(trackedWorker.entry().id().bornMillis())
                .setOffset(offset);
        ended.forEach(end -> command.addEnds(End.newBuilder()
                .setTask(end.run().task().toKey())
                .setRun(end.run().number())
                .setKind(end.kind())
                .setSaved(end.saved())));
        trackedWorker.recordProposedOffset(offset);
        propose(JobCommand.newBuilder().setEnd(command).build());
    }

    private void updateHealth(TrackedWorker trackedWorker, LeaseRenewalResult.RunEnd end, long nowMillis) {
        if (end.kind() == EndKind.DONE) {
            trackedWorker.health().succeeded();
        } else if (end.kind() == EndKind.FAILED) {
            boolean failedElsewhere =
                    table.task(end.run().task()).map(JobTask::failures).orElse(0) > 0;
            failedOn.computeIfAbsent(end.run().task(), absent -> new HashMap<>())
                    .put(trackedWorker.entry().id(), nowMillis);
            if (!failedElsewhere) {
                trackedWorker.health().failed(nowMillis);
            }
            LOG.log(
                    System.Logger.Level.INFO,
                    "RUN failed run={0} worker={1} failedElsewhere={2}",
                    end.run(),
                    trackedWorker.entry().id(),
                    failedElsewhere);
        }
    }

    private void reconcileRuns(
            TrackedWorker trackedWorker, LeaseRenewalResult result, long requestedMillis, long nowMillis) {
        Map<RunId, LeaseRenewalResult.RunProgress> running = result.running().stream()
                .collect(Collectors.toMap(LeaseRenewalResult.RunProgress::run, row -> row, (one, other) -> other));
        Set<RunId> ended =
                result.ended().stream().map(LeaseRenewalResult.RunEnd::run).collect(Collectors.toSet());
        List<TrackedRun> absent = new ArrayList<>();
        List<SlowWorkerDetector.PaceSample> paceSamples = new ArrayList<>();
        for (TrackedRun trackedRun : List.copyOf(trackedWorker.runs())) {
            LeaseRenewalResult.RunProgress row = running.get(trackedRun.id());
            if (row != null) {
                recordProgress(trackedRun, row, nowMillis)
                        .ifPresent(pace -> paceSamples.add(new SlowWorkerDetector.PaceSample(trackedRun, pace)));
            } else if (!ended.contains(trackedRun.id())) {
                handleUnlisted(trackedRun, requestedMillis, nowMillis).ifPresent(absent::add);
            }
        }
        lose(absent);
        relocateSlowRuns(trackedWorker, slowWorkerDetector.slowRuns(paceSamples), nowMillis);
        running.values().stream()
                .filter(row -> trackedWorker.run(row.run()) == null)
                .forEach(row -> stopStray(trackedWorker, row.run()));
    }

    /** Stops the runs of a worker that is much slower than others, to run them elsewhere, and leaves it alone for a while. */
    private void relocateSlowRuns(TrackedWorker trackedWorker, List<TrackedRun> slowRuns, long nowMillis) {
        if (slowRuns.isEmpty()) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER slow worker={0} runs={1}",
                trackedWorker.entry().id(),
                slowRuns.stream().map(TrackedRun::id).toList());
        trackedWorker.health().quarantine(nowMillis);
        slowRuns.stream()
                .filter(trackedRun -> trackedRun.id().number() < RELOCATION_RUN_LIMIT)
                .forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    private OptionalDouble recordProgress(TrackedRun trackedRun, LeaseRenewalResult.RunProgress row, long nowMillis) {
        if (!trackedRun.state().ending() && trackedRun.state() != TrackedRun.State.RUNNING) {
            trackedRun.runs(nowMillis);
        }
        OptionalDouble pace = trackedRun.progress(row.saved(), row.percent(), nowMillis);
        boolean jobClosed =
                !table.job(trackedRun.id().task().job()).map(Job::open).orElse(false);
        if (jobClosed && !trackedRun.state().ending()) {
            stop(trackedRun, nowMillis);
        }
        return pace;
    }

    /** Handles a run that is neither running nor ended in a list; returns it if it surely is not there. */
    private Optional<TrackedRun> handleUnlisted(TrackedRun trackedRun, long requestedMillis, long nowMillis) {
        if (trackedRun.absenceConfirmedBy(requestedMillis)) {
            return Optional.of(trackedRun);
        }
        if (trackedRun.state() == TrackedRun.State.INHERITED) {
            trackedRun.startAt(nowMillis);
        } else if (trackedRun.state() == TrackedRun.State.RUNNING
                && requestedMillis > trackedRun.startedMillis() + LIST_GRACE_MILLIS) {
            stop(trackedRun, nowMillis);
        }
        return Optional.empty();
    }

    /** Stops a run that the table does not know as current, such as an order of the past carried out late. */
    private void stopStray(TrackedWorker trackedWorker, RunId run) {
        LOG.log(
                System.Logger.Level.INFO,
                "STOP run={0} worker={1} reason=not placed here",
                run,
                trackedWorker.entry().id());
        actions.accept(new DispatchAction.Stop(run, trackedWorker.entry(), fence));
    }

    private void stopGang(RunId member, long nowMillis) {
        runs().filter(trackedRun -> trackedRun.id().number() == member.number()
                        && trackedRun.id().task().stepId().equals(member.task().stepId())
                        && !trackedRun.id().equals(member))
                .forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    private void stop(TrackedRun trackedRun, long nowMillis) {
        if (trackedRun.state().ending() || trackedRun.state() == TrackedRun.State.PROPOSED) {
            return;
        }
        boolean neverSent = trackedRun.state() == TrackedRun.State.TO_START
                && trackedRun.startAttempts() == 0
                && !trackedRun.unanswered();
        if (neverSent) {
            lose(List.of(trackedRun));
        } else {
            trackedRun.stopAt(nowMillis);
        }
    }

    private void loseAll(TrackedWorker trackedWorker, long nowMillis) {
        List<TrackedRun> lostRuns = trackedWorker.runs().stream()
                .filter(trackedRun -> trackedRun.state() != TrackedRun.State.PROPOSED
                        && trackedRun.state() != TrackedRun.State.LOSING)
                .toList();
        if (!lostRuns.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER lapsed worker={0} runs={1} at={2}",
                    trackedWorker.entry().id(),
                    lostRuns.size(),
                    nowMillis);
            lose(lostRuns);
        }
    }

    private void lose(List<TrackedRun> lostRuns) {
        if (lostRuns.isEmpty()) {
            return;
        }
        LoseRuns.Builder command = LoseRuns.newBuilder();
        lostRuns.forEach(trackedRun -> {
            trackedRun.losing();
            command.addRuns(trackedRun.id().toKey(trackedRun.saved()));
        });
        propose(JobCommand.newBuilder().setLose(command).build());
    }

    /** Ends a life that is proved to be over; its runs wait again. */
    void endIncarnation(TrackedWorker trackedWorker, String reason) {
        if (trackedWorker.ending()) {
            return;
        }
        trackedWorker.end();
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER ended worker={0} runs={1} reason={2}",
                trackedWorker.entry().id(),
                trackedWorker.runs().size(),
                reason);
        propose(JobCommand.newBuilder()
                .setEndWorker(EndWorker.newBuilder()
                        .setWorker(trackedWorker.entry().id().worker())
                        .setBornMillis(trackedWorker.entry().id().bornMillis()))
                .build());
    }

    private void propose(JobCommand command) {
        actions.accept(new DispatchAction.Propose(command));
    }

    private Optional<TrackedRun> trackedRun(RunId run, IncarnationId incarnation) {
        return trackedWorker(incarnation).map(trackedWorker -> trackedWorker.run(run));
    }

    private Stream<TrackedRun> runs() {
        return List.copyOf(trackedWorkers.values()).stream()
                .flatMap(trackedWorker -> List.copyOf(trackedWorker.runs()).stream());
    }

    private Step step(StepId id) {
        return table.job(id.job()).orElseThrow().step(id.step());
    }
}
