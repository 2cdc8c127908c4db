package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.interference.TaskKind;
import org.wasabimount.core.job.CrashLimit;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.Organisations;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.core.quota.QuotaCheck;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.ConfirmCapacities;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.EndWorker;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.LossCause;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerEndCause;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * Carries out committed placements on the workers: renews leases, sends starts and stops, and records the run ends that
 * workers list.
 *
 * <p>Handles unanswered orders, which may be carried out seconds later; workers that disappear and return as another
 * incarnation; and runs that an earlier leader started. A run is declared lost only when the worker's list, the expiry
 * of its lease or a new incarnation proves that it is over.
 */
final class WorkerManager {

    private static final System.Logger LOG = System.getLogger("wasabimount.worker");

    /** Maximum number of run ends in one list; a list of that length may omit others. */
    private static final int MAX_LISTED_ENDS = 500;

    /** Maximum number of runs that one log line names; more than a worker usually has. */
    private static final int MAX_LOGGED_RUNS = 40;

    /** Delay before a failed call is retried, in milliseconds; a fraction of the shortest objective. */
    private static final long RETRY_MILLIS = 200;

    /** Number of start attempts after which the run is stopped instead. */
    private static final int MAX_START_ATTEMPTS = 4;

    /**
     * Share of the time for which a task of a gang waits for the others after which it must have been seen working, if one
     * of them is on a silent worker; the rest is for the stop, and lists arrive at least every second.
     */
    private static final double MAX_GANG_WAIT_SHARE = 0.5;

    /** Interval between two checks of the gangs with a task on a silent worker, in milliseconds; a part of a stop. */
    private static final long GANG_CHECK_INTERVAL_MILLIS = 100;

    /**
     * Time without contact after which a worker with an expired lease is removed, in milliseconds; several announcement
     * intervals.
     */
    private static final long SILENT_WORKER_REMOVAL_MILLIS = 15_000;

    /**
     * Time after the response to its start from which a run must appear in every list, in milliseconds; covers
     * reordered responses.
     */
    private static final long LIST_GRACE_MILLIS = 500;

    /**
     * Longest time after which a worker carries out an order that it has not answered, in milliseconds. The contract only says
     * seconds; the figure is the upper end of what the platform's list of disruptions names.
     */
    private static final long MAX_ORDER_DELAY_MILLIS = 12_000;

    /**
     * Number of a task's run from which it is no longer relocated when slow: some tasks take far longer than declared
     * on every worker.
     */
    private static final int RELOCATION_RUN_LIMIT = 3;

    private final DispatchSettings settings;
    private final JobTable table;
    private final long fence;
    private final Consumer<DispatchAction> actions;
    private final ExaminedCounts examined;
    private final Map<IncarnationId, TrackedWorker> trackedWorkers = new LinkedHashMap<>();

    /** The workers for which an order may be due; no others have to be examined until an event wakes them. */
    private final Set<TrackedWorker> awake = new LinkedHashSet<>();

    /** The workers whose room or usability may have changed since they were last taken. */
    private final Set<TrackedWorker> changedWorkers = new LinkedHashSet<>();

    /** The cores of the workers that count for admission and are not awake, by pool, in thousandths of a core. */
    private final Map<String, Long> restingCpuMillis = new HashMap<>();

    private final RecentFailures failures = new RecentFailures();
    private final Interference interference;

    /** The workers whose capacity is known, that with the oldest announcement first. */
    private final Set<TrackedWorker> capacitiesByAge = new LinkedHashSet<>();

    /** The workers whose latest announcement is not recorded in the table. */
    private final Set<TrackedWorker> unconfirmed = new LinkedHashSet<>();

    private long gangCheckMillis;
    private final SilenceLog silences = new SilenceLog();
    private final SpeedTracker speeds = new SpeedTracker();
    private final SlowWorkerDetector slowWorkerDetector = new SlowWorkerDetector(speeds);
    private Runnable gangWithheld = () -> {};
    private Consumer<TaskId> begun = task -> {};

    WorkerManager(
            DispatchSettings settings,
            JobTable table,
            long fence,
            Consumer<DispatchAction> actions,
            ExaminedCounts examined,
            long nowMillis) {
        this.settings = settings;
        this.table = table;
        this.fence = fence;
        this.actions = actions;
        this.examined = examined;
        this.interference = new Interference(settings.sharing(), fence, actions, examined);
        table.workers().forEach(worker -> adopt(worker, nowMillis));
    }

    private void adopt(WorkerEntry worker, long nowMillis) {
        TrackedWorker trackedWorker = new TrackedWorker(worker, settings.leaseMillis(), nowMillis);
        trackedWorkers.put(worker.id(), trackedWorker);
        awake.add(trackedWorker);
        changedWorkers.add(trackedWorker);
        for (var id : table.placedOn(worker.id())) {
            JobTask task = table.task(id).orElseThrow();
            trackedWorker.add(trackedRun(new RunId(id, task.run()), worker.id(), TrackedRun.State.INHERITED));
        }
    }

    /**
     * Sets the listener for starts of gangs that are withheld, because a worker drains, or its capacity is not known or has
     * shrunk.
     */
    void setGangWithheldListener(Runnable listener) {
        gangWithheld = listener;
    }

    /** Sets the listener for tasks of which a worker shows that it has them; it may be called again for each run. */
    void setBegunListener(Consumer<TaskId> listener) {
        begun = listener;
    }

    Organisations organisations() {
        return table.organisations();
    }

    Interference interference() {
        return interference;
    }

    SpeedTracker speeds() {
        return speeds;
    }

    Collection<TrackedWorker> trackedWorkers() {
        return trackedWorkers.values();
    }

    Optional<TrackedWorker> trackedWorker(IncarnationId incarnation) {
        return Optional.ofNullable(trackedWorkers.get(incarnation));
    }

    void recordWorker(WorkerEntry worker, long nowMillis) {
        TrackedWorker known = trackedWorkers.get(worker.id());
        if (known == null) {
            TrackedWorker trackedWorker = new TrackedWorker(worker, settings.leaseMillis(), nowMillis);
            // Recorded by this leader, which has just received the announcement.
            capacityAnnounced(trackedWorker, nowMillis);
            trackedWorkers.put(worker.id(), trackedWorker);
            awake.add(trackedWorker);
            changedWorkers.add(trackedWorker);
        } else {
            wake(known);
            known.entry(worker);
        }
    }

    /** Returns a call that grants no lease and acknowledges nothing, to which only the announced worker responds. */
    DispatchAction.RenewLease confirmationCall(Announce announcement) {
        return new DispatchAction.RenewLease(WorkerEntry.of(announcement), 0, fence, 0, 0);
    }

    /** Takes over an announcement of a known worker; returns false if a later one has arrived before. */
    boolean announcementReceived(TrackedWorker trackedWorker, Announce announcement, long nowMillis) {
        wake(trackedWorker);
        WorkerLife life = announcement.getLife();
        Capacity earlierCapacity = trackedWorker.capacity();
        boolean newer = trackedWorker.announcementReceived(
                life.getDraining(), Capacity.of(life.getCapacity()), announcement.getSequence(), nowMillis);
        if (!newer) {
            return false;
        }
        trackedWorker.announcedClockMillis(announcement.getClockMillis());
        unconfirmed.add(trackedWorker);
        // A cut network may have held the announcement back for long.
        long ageMillis = trackedWorker.clock().ageMillis(announcement.getClockMillis(), nowMillis);
        trackedWorker.clock().recordReading(announcement.getClockMillis(), nowMillis);
        capacityAnnounced(trackedWorker, nowMillis - ageMillis);
        if (!earlierCapacity.equals(trackedWorker.capacity())) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER resized worker={0} sequence={1} from={2} to={3} used={4}",
                    trackedWorker.entry().id(),
                    Long.toString(announcement.getSequence()),
                    earlierCapacity,
                    trackedWorker.capacity(),
                    trackedWorker.usedCapacity());
        }
        return true;
    }

    private void capacityAnnounced(TrackedWorker trackedWorker, long announcedMillis) {
        trackedWorker.capacityKnownUntil(announcedMillis + settings.receivedCapacityTermMillis());
        capacitiesByAge.remove(trackedWorker);
        capacitiesByAge.add(trackedWorker);
    }

    /** Derives from a reading of a worker's clock how old the capacity is that an earlier leader has recorded. */
    private void recordedCapacityRead(TrackedWorker trackedWorker, long clockMillis, long requestedMillis) {
        WorkerEntry entry = trackedWorker.entry();
        boolean newest = trackedWorker.sequence() == entry.sequence() && entry.clockMillis() > 0;
        if (newest && clockMillis >= entry.clockMillis()) {
            long ageMillis = LeaseClock.longestMillis(clockMillis - entry.clockMillis());
            trackedWorker.capacityKnownUntil(requestedMillis - ageMillis + settings.capacityTermMillis());
            capacitiesByAge.add(trackedWorker);
        }
    }

    /**
     * Returns the command that records which workers have announced the recorded capacity since the last call, so that the
     * next leader may rely on it; empty if none has.
     */
    Optional<JobCommand> confirmCapacities() {
        List<ConfirmCapacities.Confirmation> confirmations = unconfirmed.stream()
                .filter(trackedWorker -> trackedWorker
                                .capacity()
                                .equals(trackedWorker.entry().capacity())
                        && trackedWorker.sequence() > trackedWorker.entry().sequence()
                        && trackedWorkers.containsKey(trackedWorker.entry().id()))
                .map(trackedWorker -> ConfirmCapacities.Confirmation.newBuilder()
                        .setWorker(trackedWorker.entry().id().worker())
                        .setBornMillis(trackedWorker.entry().id().bornMillis())
                        .setSequence(trackedWorker.sequence())
                        .setClockMillis(trackedWorker.announcedClockMillis())
                        .build())
                .toList();
        unconfirmed.clear();
        return confirmations.isEmpty()
                ? Optional.empty()
                : Optional.of(JobCommand.newBuilder()
                        .setConfirmCapacities(ConfirmCapacities.newBuilder().addAllConfirmations(confirmations))
                        .build());
    }

    /** Has every worker announce its capacity again before anything is started on it. */
    void capacitiesUnknown(long nowMillis) {
        trackedWorkers.values().forEach(trackedWorker -> trackedWorker.capacityUnknown(nowMillis));
    }

    /** Reports the workers whose capacity is no longer known as changed. */
    private void checkCapacityAges(long nowMillis) {
        for (Iterator<TrackedWorker> oldest = capacitiesByAge.iterator(); oldest.hasNext(); ) {
            TrackedWorker trackedWorker = oldest.next();
            if (trackedWorker.capacityKnown(nowMillis)) {
                return;
            }
            oldest.remove();
            changedWorkers.add(trackedWorker);
        }
    }

    void ended(IncarnationId incarnation, List<RunId> runs, WorkerEndCause cause) {
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER gone worker={0} cause={1} count={2} runs={3}",
                incarnation,
                cause,
                runs.size(),
                firstOf(runs));
        TrackedWorker trackedWorker = trackedWorkers.remove(incarnation);
        if (trackedWorker != null) {
            wake(trackedWorker);
            awake.remove(trackedWorker);
            capacitiesByAge.remove(trackedWorker);
        }
    }

    /** Returns as many runs as one log line names. */
    private static List<RunId> firstOf(List<RunId> runs) {
        return runs.subList(0, Math.min(MAX_LOGGED_RUNS, runs.size()));
    }

    boolean hasChangedWorkers() {
        return !changedWorkers.isEmpty();
    }

    /** Returns the workers whose room or usability may have changed since the last call, with those that have ended. */
    List<TrackedWorker> takeChangedWorkers() {
        List<TrackedWorker> taken = List.copyOf(changedWorkers);
        changedWorkers.clear();
        return taken;
    }

    /** Returns whether other workers fell silent together with the incarnations that a later one replaces. */
    boolean othersSilentWithEarlier(WorkerLife later) {
        return silences.othersSilentWithEarlier(later);
    }

    /** Has a worker examined by the next tick; must be called before the worker's state changes. */
    void wake(TrackedWorker trackedWorker) {
        changedWorkers.add(trackedWorker);
        if (awake.add(trackedWorker)) {
            addRestingCpuMillis(trackedWorker, -trackedWorker.cpuMillisForAdmission());
        }
    }

    private void addRestingCpuMillis(TrackedWorker trackedWorker, long cpuMillis) {
        restingCpuMillis.merge(trackedWorker.entry().incarnation().getPool(), cpuMillis, Long::sum);
    }

    /** Returns the cores of the workers of a pool that count for admission, in thousandths of a core. */
    long cpuMillisForAdmission(String pool) {
        examined.add(ExaminedCounts.Part.ADMIT, awake.size());
        return restingCpuMillis.getOrDefault(pool, 0L)
                + awake.stream()
                        .filter(trackedWorker ->
                                trackedWorker.entry().incarnation().getPool().equals(pool))
                        .mapToLong(TrackedWorker::cpuMillisForAdmission)
                        .sum();
    }

    /** Reserves capacity for a run whose placement is being committed. */
    void propose(RunId run, TrackedWorker trackedWorker, String ticket) {
        TrackedRun trackedRun = trackedRun(run, trackedWorker.entry().id(), TrackedRun.State.PROPOSED);
        interference.placed(trackedRun, trackedWorker);
        trackedWorker.add(trackedRun.withTicket(ticket));
    }

    private TrackedRun trackedRun(RunId run, IncarnationId incarnation, TrackedRun.State state) {
        Job job = table.job(run.task().job()).orElseThrow();
        JobTask task = table.task(run.task()).orElseThrow();
        Step step = job.step(run.task().step());
        return new TrackedRun(run, incarnation, step, state)
                .withKind(TaskKind.of(job.queue().getName(), step))
                .withSuspicion(task.suspicions() > 0, CrashLimit.requiresIsolation(job, task));
    }

    /** Releases the capacity of a placement that was rejected when it was applied. */
    void refused(RunId run, IncarnationId incarnation) {
        trackedWorker(incarnation).ifPresent(trackedWorker -> {
            TrackedRun trackedRun = trackedWorker.run(run);
            if (trackedRun != null && trackedRun.state() == TrackedRun.State.PROPOSED) {
                changedWorkers.add(trackedWorker);
                trackedWorker.remove(run);
            }
        });
    }

    /** Returns the workers on which one of the step's waiting tasks has recently failed. */
    Set<IncarnationId> failedRecently(ReadyStep step, long nowMillis) {
        return failures.workers(step, nowMillis);
    }

    void placed(RunId run, IncarnationId incarnation, long nowMillis) {
        trackedWorker(incarnation).ifPresent(trackedWorker -> {
            wake(trackedWorker);
            TrackedRun trackedRun = trackedWorker.run(run);
            if (trackedRun != null) {
                trackedRun.startAt(nowMillis);
            }
        });
    }

    void released(RunId run, IncarnationId incarnation, long nowMillis) {
        trackedWorker(incarnation).ifPresent(trackedWorker -> {
            changedWorkers.add(trackedWorker);
            trackedWorker.remove(run);
        });
        JobTask task = table.task(run.task()).orElse(null);
        boolean gangBroken =
                task != null && !task.done() && step(run.task().stepId()).getGang();
        if (gangBroken) {
            stopGang(run, nowMillis);
        }
    }

    void jobEnded(Job job, long nowMillis) {
        failures.forgetJob(job.id());
        placedRuns(job.tasks().filter(task -> !task.done())).forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    /** Sends all due lease renewals, starts and stops, and handles expired leases. */
    void tick(long nowMillis) {
        checkCapacityAges(nowMillis);
        boolean gangCheckDue = nowMillis >= gangCheckMillis;
        if (gangCheckDue) {
            gangCheckMillis = nowMillis + GANG_CHECK_INTERVAL_MILLIS;
        }
        List.copyOf(awake).forEach(trackedWorker -> {
            examined.add(ExaminedCounts.Part.TICK, 1 + trackedWorker.runs().size());
            if (trackedWorker.renewalDue(nowMillis)) {
                renewLease(trackedWorker, nowMillis);
            }
            if (gangCheckDue && trackedWorker.unansweredCalls() > 0) {
                stopGangsThatMissTasks(trackedWorker, nowMillis);
            }
            if (trackedWorker.unansweredCalls() > 0 && leasesExpired(trackedWorker, nowMillis)) {
                loseAll(trackedWorker, nowMillis);
                if (trackedWorker.silentMillis(nowMillis) > SILENT_WORKER_REMOVAL_MILLIS) {
                    endIncarnation(
                            trackedWorker,
                            WorkerEndCause.SILENT,
                            "no contact for " + SILENT_WORKER_REMOVAL_MILLIS + " ms");
                }
            }
            List.copyOf(trackedWorker.runs()).forEach(trackedRun -> send(trackedWorker, trackedRun, nowMillis));
            if (!trackedWorker.awaitsOrder()) {
                awake.remove(trackedWorker);
                addRestingCpuMillis(trackedWorker, trackedWorker.cpuMillisForAdmission());
            }
        });
    }

    /**
     * Returns whether all runs on a worker have certainly ended by the expiry of their leases. A later incarnation has a
     * clock of its own, so there a run ends the longest lease after the last moment at which its start can be carried out.
     */
    private boolean leasesExpired(TrackedWorker trackedWorker, long nowMillis) {
        return trackedWorker.replaced()
                ? nowMillis - trackedWorker.replacedMillis()
                        > MAX_ORDER_DELAY_MILLIS + LeaseClock.longestMillis(settings.leaseMillis())
                : trackedWorker.clock().expired(nowMillis);
    }

    private void renewLease(TrackedWorker trackedWorker, long nowMillis) {
        trackedWorker.renewalSent();
        if (trackedWorker.replaced()) {
            // Only the list is requested: a lease would extend the runs that a later incarnation must not have.
            actions.accept(new DispatchAction.RenewLease(trackedWorker.entry(), 0, fence, 0, 0));
            return;
        }
        // The first list is requested without delay: until it arrives, nothing may be placed on the worker.
        long waitMillis = trackedWorker.runsListed() ? interference.listWaitMillis(trackedWorker) : 0;
        // A later incarnation with the same id restarts the numbering of its ends, so nothing is acknowledged while one
        // may respond.
        long offset = trackedWorker.runsListed() && trackedWorker.unansweredCalls() == 0
                ? trackedWorker.entry().offset()
                : 0;
        // Each attempt that extended the lease of a silent worker would delay the proof that its runs are over.
        long leaseUntilMillis = trackedWorker.unansweredCalls() == 0
                ? trackedWorker.clock().grant(nowMillis)
                : trackedWorker.clock().granted(nowMillis);
        actions.accept(
                new DispatchAction.RenewLease(trackedWorker.entry(), leaseUntilMillis, fence, offset, waitMillis));
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
        boolean quotaAllows = organisations()
                .account(job.get().organisation())
                .map(account -> QuotaCheck.mayStart(account, trackedRun.size()))
                .orElse(true);
        boolean allowed = quotaAllows && capacityAllowsStart(trackedWorker, trackedRun, nowMillis);
        if (trackedWorker.draining() || !allowed) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "START withheld run={0} worker={1} capacity={2} used={3} known={4} draining={5} quotaAllows={6}",
                    trackedRun.id(),
                    trackedWorker.entry().id(),
                    trackedWorker.capacity(),
                    trackedWorker.usedCapacity(),
                    trackedWorker.capacityKnown(nowMillis),
                    trackedWorker.draining(),
                    quotaAllows);
            stop(trackedRun, nowMillis);
            if (trackedRun.step().getGang()) {
                gangWithheld.run();
                stopGang(trackedRun.id(), nowMillis);
            }
            return;
        }
        String saved = job.get().savedProgress(trackedRun.id().task());
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

    /** Returns whether a start that was decided earlier still fits, as far as the worker does not check that itself. */
    private boolean capacityAllowsStart(TrackedWorker trackedWorker, TrackedRun trackedRun, long nowMillis) {
        if (guardsCapacity(trackedWorker)) {
            return true;
        }
        boolean everythingFits = Capacity.NONE.fitsIn(trackedWorker.freeCapacity());
        return trackedWorker.capacityKnown(nowMillis) && (everythingFits || trackedWorker.fitsNow(trackedRun));
    }

    private boolean guardsCapacity(TrackedWorker trackedWorker) {
        String pool = trackedWorker.entry().incarnation().getPool();
        return table.queues().getPoolsList().stream()
                .anyMatch(known -> known.getName().equals(pool) && known.getGuardsCapacity());
    }

    void startCompleted(
            RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        TrackedRun trackedRun = runOfResponse(run, incarnation, result, clockMillis, nowMillis);
        if (trackedRun == null || trackedRun.state() != TrackedRun.State.STARTING) {
            return;
        }
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        trackedRun.unanswered(result == OrderOutcome.NO_ANSWER);
        switch (result) {
            case DONE -> {
                trackedRun.runs(nowMillis);
                begun.accept(run.task());
            }
            case NO_ANSWER, NOT_SENT -> {
                silences.callUnanswered(trackedWorker, "start", result, nowMillis);
                trackedWorker.recordUnansweredCall();
                trackedRun.startAt(nowMillis + RETRY_MILLIS);
                if (trackedWorker.replaced()) {
                    stop(trackedRun, nowMillis);
                }
            }
            case SUPERSEDED -> trackedRun.awaitList(nowMillis);
            case FENCED -> trackedRun.startAt(nowMillis + RETRY_MILLIS);
            case LATER_LIFE -> {
                handleStartRefusal(trackedWorker, trackedRun, result, nowMillis);
                laterIncarnationFound(trackedWorker, nowMillis);
            }
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
            lose(List.of(trackedRun), LossCause.NEVER_STARTED);
        }
        if (trackedRun.step().getGang()) {
            stopGang(trackedRun.id(), nowMillis);
        }
    }

    void stopCompleted(
            RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        TrackedRun trackedRun = runOfResponse(run, incarnation, result, clockMillis, nowMillis);
        if (trackedRun == null || trackedRun.state() != TrackedRun.State.STOPPING) {
            return;
        }
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (result == OrderOutcome.DONE || result == OrderOutcome.SUPERSEDED) {
            trackedRun.awaitList(nowMillis);
            if (trackedWorker.replaced()) {
                trackedWorker.requestListNow();
            }
        } else {
            trackedRun.stopAt(nowMillis + RETRY_MILLIS);
        }
    }

    void paceCompleted(DispatchAction.Pace order, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        IncarnationId incarnation = order.worker().id();
        if (runOfResponse(order.run(), incarnation, result, clockMillis, nowMillis) != null) {
            interference.paceCompleted(trackedWorkers.get(incarnation), order, result, nowMillis);
        }
    }

    /** Takes over the response to an order; returns the run, or null if the incarnation or the run has ended. */
    private TrackedRun runOfResponse(
            RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (trackedWorker == null) {
            return null;
        }
        wake(trackedWorker);
        clockMillis.ifPresent(clock -> trackedWorker.clock().recordReading(clock, nowMillis));
        if (result == OrderOutcome.OTHER_LIFE) {
            endIncarnation(trackedWorker, WorkerEndCause.REPLACED, "another incarnation responds at its address");
            return null;
        }
        return trackedWorker.run(run);
    }

    void leaseRenewalCompleted(
            IncarnationId incarnation, LeaseRenewalResult result, long requestedMillis, long nowMillis) {
        TrackedWorker trackedWorker = trackedWorkers.get(incarnation);
        if (trackedWorker == null) {
            return;
        }
        wake(trackedWorker);
        if (result.outcome() == OrderOutcome.OTHER_LIFE) {
            endIncarnation(trackedWorker, WorkerEndCause.REPLACED, "another worker responds at its address");
            return;
        }
        boolean laterIncarnation = result.outcome() == OrderOutcome.DONE
                && result.bornMillis() > 0
                && result.bornMillis() != incarnation.bornMillis();
        if (laterIncarnation) {
            laterIncarnationResponded(trackedWorker, result, requestedMillis, nowMillis);
            return;
        }
        if (result.outcome() != OrderOutcome.DONE) {
            silences.callUnanswered(trackedWorker, "hold", result.outcome(), nowMillis);
            trackedWorker.leaseRenewalCompleted(false, nowMillis + RETRY_MILLIS, nowMillis);
            endIfLeft(trackedWorker);
            return;
        }
        if (trackedWorker.unansweredCalls() > 0) {
            silences.remove(incarnation);
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER regained worker={0} misses={1}",
                    incarnation,
                    trackedWorker.unansweredCalls());
        }
        trackedWorker.clock().recordReading(result.clockMillis(), nowMillis);
        if (!trackedWorker.capacityKnown(nowMillis)) {
            recordedCapacityRead(trackedWorker, result.clockMillis(), requestedMillis);
        }
        trackedWorker.leaseRenewalCompleted(true, nowMillis, nowMillis);
        trackedWorker.answered(requestedMillis);
        trackedWorker.runsListed(true);
        interference.listed(trackedWorker, result, nowMillis);
        recordEnds(trackedWorker, result.ended(), nowMillis);
        reconcileRuns(trackedWorker, result, requestedMillis, nowMillis);
    }

    /** Handles the notice that a worker leaves; the worker itself has to confirm it by its silence. */
    void leaveReceived(TrackedWorker trackedWorker, long nowMillis) {
        if (!trackedWorker.draining()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER leave ignored worker={0} reason=it has not announced that it drains",
                    trackedWorker.entry().id());
            return;
        }
        trackedWorker.leaveReceived(nowMillis);
        endIfLeft(trackedWorker);
    }

    private void endIfLeft(TrackedWorker trackedWorker) {
        if (trackedWorker.left()) {
            endIncarnation(trackedWorker, WorkerEndCause.LEFT, "the worker left");
        }
    }

    /**
     * Ends an incarnation whose id a later one has taken over, once the later one certainly has none of its runs and will not
     * start any: it may have received a start without answering it, and carry it out late.
     */
    private void laterIncarnationResponded(
            TrackedWorker trackedWorker, LeaseRenewalResult result, long requestedMillis, long nowMillis) {
        closeToStarts(trackedWorker, nowMillis);
        Set<RunId> running = result.running().stream()
                .map(LeaseRenewalResult.RunProgress::run)
                .collect(Collectors.toSet());
        List<TrackedRun> unsettled = trackedWorker.runs().stream()
                .filter(trackedRun ->
                        running.contains(trackedRun.id()) || !trackedRun.settledInLaterIncarnation(requestedMillis))
                .toList();
        unsettled.forEach(trackedRun -> {
            if (trackedRun.state() == TrackedRun.State.LOSING) {
                stopStray(trackedWorker, trackedRun.id());
            } else if (trackedRun.state() != TrackedRun.State.STARTING) {
                stop(trackedRun, nowMillis);
            }
        });
        if (unsettled.isEmpty() && !trackedWorker.ending()) {
            proposeEndsInLaterIncarnation(trackedWorker, result.ended());
            endIncarnation(trackedWorker, WorkerEndCause.REPLACED, "replaced by a later incarnation");
        }
        trackedWorker.leaseRenewalCompleted(false, nowMillis + RETRY_MILLIS, nowMillis);
    }

    /** Ends an incarnation in whose place a later one was found; if a start of it has no response, once that is settled. */
    private void laterIncarnationFound(TrackedWorker trackedWorker, long nowMillis) {
        closeToStarts(trackedWorker, nowMillis);
        if (trackedWorker.runs().stream().noneMatch(TrackedRun::startOpen)) {
            endIncarnation(trackedWorker, WorkerEndCause.REPLACED, "a later incarnation responds at its address");
        } else {
            trackedWorker.requestListNow();
        }
    }

    /** Has no more runs started in an earlier incarnation, and stops those whose unanswered starts may reach the later one. */
    private void closeToStarts(TrackedWorker trackedWorker, long nowMillis) {
        if (!trackedWorker.replaced()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER replaced worker={0} runs={1} unanswered={2}",
                    trackedWorker.entry().id(),
                    trackedWorker.runs().size(),
                    firstOf(trackedWorker.runs().stream()
                            .filter(TrackedRun::mayStartLate)
                            .map(TrackedRun::id)
                            .toList()));
        }
        trackedWorker.markReplaced(nowMillis);
        trackedWorker.runs().stream()
                .filter(trackedRun -> trackedRun.mayStartLate() && trackedRun.state() != TrackedRun.State.STARTING)
                .forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    /**
     * Records the ends of runs that were meant for an incarnation but accepted by a later one. This must precede the
     * end of the earlier incarnation, which would make their tasks run again. The later incarnation lists these ends
     * again once it is known itself.
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
     * Closes the earlier incarnations of a worker to starts, and returns whether the runs of the later one must be listed
     * before they are ended.
     *
     * @param later the later incarnation
     * @param nowMillis the current monotonic time, in milliseconds
     * @return true if the later incarnation may have accepted an order for an earlier one, or if a run is being placed there
     */
    boolean closeEarlierIncarnations(WorkerLife later, long nowMillis) {
        List<TrackedWorker> earlier = trackedWorkers.values().stream()
                .filter(trackedWorker -> trackedWorker
                                .entry()
                                .incarnation()
                                .getWorker()
                                .equals(later.getWorker())
                        && trackedWorker.entry().incarnation().getAddress().equals(later.getAddress())
                        && trackedWorker.entry().id().bornMillis() < later.getBornMillis())
                .toList();
        earlier.forEach(trackedWorker -> {
            wake(trackedWorker);
            closeToStarts(trackedWorker, nowMillis);
            trackedWorker.requestListNow();
        });
        return earlier.stream().anyMatch(trackedWorker -> !trackedWorker.runs().isEmpty());
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
                .setOffset(offset)
                .setCountedByRun(true);
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
            failures.record(end.run().task(), trackedWorker.entry().id(), nowMillis);
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
        boolean mayOmitEnds = result.ended().size() >= MAX_LISTED_ENDS;
        List<TrackedRun> absent = new ArrayList<>();
        List<SlowWorkerDetector.PaceSample> paceSamples = new ArrayList<>();
        for (TrackedRun trackedRun : List.copyOf(trackedWorker.runs())) {
            LeaseRenewalResult.RunProgress row = running.get(trackedRun.id());
            if (row != null) {
                recordProgress(trackedRun, row, nowMillis)
                        .ifPresent(pace -> paceSamples.add(new SlowWorkerDetector.PaceSample(trackedRun, pace)));
            } else if (!mayOmitEnds && !ended.contains(trackedRun.id())) {
                handleUnlisted(trackedRun, requestedMillis, nowMillis).ifPresent(absent::add);
            }
        }
        lose(absent, LossCause.NOT_LISTED);
        relocateSlowRuns(trackedWorker, slowWorkerDetector.slowRuns(trackedWorker, paceSamples, nowMillis), nowMillis);
        List<RunId> strays = running.keySet().stream()
                .filter(run -> trackedWorker.run(run) == null)
                .toList();
        trackedWorker.strays(sizeOf(strays));
        strays.forEach(run -> {
            begun.accept(run.task());
            stopStray(trackedWorker, run);
        });
    }

    /** Quarantines a worker that is much slower than others, and stops its slow runs so that they run elsewhere. */
    private void relocateSlowRuns(TrackedWorker trackedWorker, List<TrackedRun> slowRuns, long nowMillis) {
        if (slowRuns.isEmpty()) {
            return;
        }
        trackedWorker.health().quarantine(nowMillis);
        slowRuns.stream()
                .filter(trackedRun -> trackedRun.id().number() < RELOCATION_RUN_LIMIT)
                .forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    private OptionalDouble recordProgress(TrackedRun trackedRun, LeaseRenewalResult.RunProgress row, long nowMillis) {
        if (trackedRun.state() != TrackedRun.State.RUNNING) {
            begun.accept(trackedRun.id().task());
        }
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

    /**
     * Handles a run that a list contains neither as running nor as ended; returns it if it is certainly not on the
     * worker.
     */
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

    /** Stops a run that is not assigned to the worker, such as one from a delayed start order. */
    private void stopStray(TrackedWorker trackedWorker, RunId run) {
        LOG.log(
                System.Logger.Level.INFO,
                "STOP run={0} worker={1} reason=not placed here",
                run,
                trackedWorker.entry().id());
        actions.accept(new DispatchAction.Stop(run, trackedWorker.entry(), fence));
    }

    /**
     * Stops the other tasks of gangs with a task on a silent worker if they do not work. They wait for one that may have
     * never started, and would end by themselves soon; a gang that works is left alone, as its worker may only be cut off.
     */
    private void stopGangsThatMissTasks(TrackedWorker silentWorker, long nowMillis) {
        silentWorker.runs().stream()
                .filter(trackedRun -> trackedRun.step().getGang()
                        && !trackedRun.state().ending()
                        && trackedRun.state() != TrackedRun.State.PROPOSED)
                .map(TrackedRun::id)
                .toList()
                .forEach(run -> {
                    List<TrackedRun> others = otherMembers(run);
                    boolean working = others.stream().anyMatch(TrackedRun::advanced);
                    boolean waitedLong = others.stream()
                            .anyMatch(other -> other.state() == TrackedRun.State.RUNNING
                                    && nowMillis - other.startedMillis()
                                            >= MAX_GANG_WAIT_SHARE * settings.gangMillis());
                    if (waitedLong && !working) {
                        stopGang(run, nowMillis);
                    }
                });
    }

    private List<TrackedRun> otherMembers(RunId member) {
        TaskId id = member.task();
        return placedRuns(table.job(id.job()).orElseThrow().tasks(id.occurrence(), id.step()).stream()
                .filter(task -> task.run() == member.number() && task.id().index() != id.index()));
    }

    private Capacity sizeOf(List<RunId> runs) {
        return runs.stream()
                .filter(run -> table.task(run.task()).isPresent())
                .map(run -> Capacity.of(step(run.task().stepId()).getSize()))
                .reduce(Capacity.NONE, Capacity::plus);
    }

    private void stopGang(RunId member, long nowMillis) {
        otherMembers(member).forEach(trackedRun -> stop(trackedRun, nowMillis));
    }

    private void stop(TrackedRun trackedRun, long nowMillis) {
        if (trackedRun.state().ending() || trackedRun.state() == TrackedRun.State.PROPOSED) {
            return;
        }
        if (trackedRun.neverSent()) {
            lose(List.of(trackedRun), LossCause.NEVER_STARTED);
        } else {
            trackedRun.stopAt(nowMillis);
            trackedWorker(trackedRun.incarnation()).ifPresent(this::wake);
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
                    "WORKER lapsed worker={0} silentMillis={1} count={2} runs={3}",
                    trackedWorker.entry().id(),
                    Long.toString(trackedWorker.silentMillis(nowMillis)),
                    lostRuns.size(),
                    firstOf(lostRuns.stream().map(TrackedRun::id).toList()));
            lose(lostRuns.stream().filter(TrackedRun::neverSent).toList(), LossCause.NEVER_STARTED);
            lose(
                    lostRuns.stream()
                            .filter(trackedRun -> trackedRun.state() != TrackedRun.State.LOSING)
                            .toList(),
                    LossCause.LEASE_EXPIRED);
        }
    }

    private void lose(List<TrackedRun> lostRuns, LossCause cause) {
        if (lostRuns.isEmpty()) {
            return;
        }
        LoseRuns.Builder command = LoseRuns.newBuilder().setCause(cause);
        lostRuns.forEach(trackedRun -> {
            trackedRun.losing();
            command.addRuns(trackedRun.id().toKey(trackedRun.saved()));
        });
        propose(JobCommand.newBuilder().setLose(command).build());
    }

    /** Ends an incarnation that is proved to be over; the tasks of its runs wait for placement again. */
    void endIncarnation(TrackedWorker trackedWorker, WorkerEndCause cause, String reason) {
        if (trackedWorker.ending()) {
            return;
        }
        trackedWorker.end();
        changedWorkers.add(trackedWorker);
        LOG.log(
                System.Logger.Level.INFO,
                "WORKER ended worker={0} runs={1} reason={2}",
                trackedWorker.entry().id(),
                trackedWorker.runs().size(),
                reason);
        lose(trackedWorker.runs().stream().filter(this::waitsForStart).toList(), LossCause.NEVER_STARTED);
        propose(JobCommand.newBuilder()
                .setEndWorker(EndWorker.newBuilder()
                        .setWorker(trackedWorker.entry().id().worker())
                        .setBornMillis(trackedWorker.entry().id().bornMillis())
                        .setCause(cause)
                        .setOthersSilent(
                                silences.othersSilentWith(trackedWorker.entry().id())))
                .build());
    }

    private boolean waitsForStart(TrackedRun trackedRun) {
        return trackedRun.state() == TrackedRun.State.TO_START && trackedRun.neverSent();
    }

    private void propose(JobCommand command) {
        actions.accept(new DispatchAction.Propose(command));
    }

    /** Returns the current runs of those tasks that are placed. */
    private List<TrackedRun> placedRuns(Stream<JobTask> tasks) {
        List<TrackedRun> runs = new ArrayList<>();
        tasks.forEach(task -> task.incarnation()
                .flatMap(this::trackedWorker)
                .map(trackedWorker -> trackedWorker.run(new RunId(task.id(), task.run())))
                .ifPresent(runs::add));
        examined.add(ExaminedCounts.Part.END, runs.size());
        return runs;
    }

    private Step step(StepId id) {
        return table.job(id.job()).orElseThrow().step(id.step());
    }
}
