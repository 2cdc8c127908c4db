package org.wasabimount.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.CancelJob;
import org.wasabimount.protocol.job.ConfirmCapacities;
import org.wasabimount.protocol.job.End;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.EndRuns;
import org.wasabimount.protocol.job.EndWorker;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSnapshot;
import org.wasabimount.protocol.job.LoseRuns;
import org.wasabimount.protocol.job.LossCause;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Placement;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.RunKey;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.WorkerEndCause;
import org.wasabimount.protocol.job.WorkerLife;
import org.wasabimount.protocol.job.WorkerRecord;

/**
 * The replicated state of jobs, workers and queues. It is changed only by commands of the replicated log.
 *
 * <p>Every command is validated against the state that it is applied to, because it may have been decided on an older
 * state; it has no effect where it no longer applies. Applying the same commands gives the same state on every replica.
 */
public final class JobTable {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    private QueueTable queues = QueueTable.getDefaultInstance();
    private final Map<String, WorkerEntry> workers = new LinkedHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<IncarnationId, Set<TaskId>> placed = new HashMap<>();
    private final Organisations organisations = new Organisations();
    private final SilentWorkers silentWorkers = new SilentWorkers();
    private final EarlyCancellations earlyCancellations = new EarlyCancellations();
    private Observer observer = new Observer() {};
    private RuntimeException observerFailure;

    /** Receives a notification of each change when it is applied. */
    public interface Observer {

        /**
         * Called when a job was accepted.
         *
         * @param job the job
         */
        default void accepted(Job job) {}

        /**
         * Called when a run was placed on a worker.
         *
         * @param run the run
         * @param incarnation the incarnation of the worker
         */
        default void placed(RunId run, IncarnationId incarnation) {}

        /**
         * Called when a run is known to have ended.
         *
         * @param run the run
         * @param incarnation the incarnation that the run was placed on
         */
        default void released(RunId run, IncarnationId incarnation) {}

        /**
         * Called when a task is done; its last run may still be placed, or may have ended before.
         *
         * @param task the task
         */
        default void taskDone(TaskId task) {}

        /**
         * Called when it has become known that a worker has crashed with a run of a task, or that it has not.
         *
         * @param task the task
         */
        default void suspicionChanged(TaskId task) {}

        /**
         * Called when a job was completed, broken down or cancelled.
         *
         * @param job the job
         */
        default void ended(Job job) {}

        /**
         * Called when an incarnation of a worker was announced for the first time or announced changed data.
         *
         * @param worker the worker
         */
        default void workerAnnounced(WorkerEntry worker) {}

        /**
         * Called when an incarnation of a worker has ended, after its runs were released.
         *
         * @param incarnation the incarnation
         * @param runs the runs that were placed on it
         * @param cause why it has ended
         */
        default void workerEnded(IncarnationId incarnation, List<RunId> runs, WorkerEndCause cause) {}
    }

    /**
     * Sets the observer that is notified of changes.
     *
     * @param newObserver the observer; it replaces the previous one
     */
    public void setObserver(Observer newObserver) {
        this.observer = newObserver;
    }

    /**
     * Returns the current queues and pools.
     *
     * @return the newest table; its version is 0 if none was put yet
     */
    public QueueTable queues() {
        return queues;
    }

    /**
     * Returns the current queue with a given name.
     *
     * @param name the queue's name
     * @return the queue, empty if there is currently none of that name
     */
    public Optional<Queue> queue(String name) {
        return queues.getQueuesList().stream()
                .filter(queue -> queue.getName().equals(name))
                .findFirst();
    }

    /**
     * Returns the organisations of the current table, with what their tasks hold.
     *
     * @return the accounts
     */
    public Organisations organisations() {
        return organisations;
    }

    /**
     * Returns the queue for a request: of the queues of its host, the one with the longest matching path prefix.
     *
     * @param host the host that the request names, without a port
     * @param path the request's path
     * @return the queue, empty if there is none
     */
    public Optional<Queue> queueAt(String host, String path) {
        return queues.getQueuesList().stream()
                .filter(queue -> queue.getHost().equals(host) && path.startsWith(queue.getPathPrefix()))
                .reduce((one, other) ->
                        one.getPathPrefix().length() >= other.getPathPrefix().length() ? one : other);
    }

    /**
     * Returns a job.
     *
     * @param id the job's id
     * @return the job, empty if there is none or it was removed after its end
     */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns whether a job was cancelled that is not known; it is cancelled as soon as it is accepted.
     *
     * @param id the job's id
     * @param organisation the organisation that cancels; empty if the queue requires no secret
     * @param nowMillis the current time of day, in milliseconds since 1970
     * @return true if its cancellation was recorded lately
     */
    public boolean cancelledEarly(String id, String organisation, long nowMillis) {
        return earlyCancellations.contains(id, organisation, nowMillis);
    }

    /**
     * Returns every job that has not been removed.
     *
     * @return the jobs in the order of their acceptance
     */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /**
     * Returns a worker.
     *
     * @param worker the worker's id
     * @return its current incarnation, empty if there is none
     */
    public Optional<WorkerEntry> worker(String worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    /**
     * Returns every worker whose current incarnation is not known to have ended.
     *
     * @return the workers
     */
    public Collection<WorkerEntry> workers() {
        return workers.values();
    }

    /**
     * Returns the tasks with a run that was placed on an incarnation and is not known to have ended.
     *
     * @param incarnation the incarnation of the worker
     * @return the tasks
     */
    public Set<TaskId> placedOn(IncarnationId incarnation) {
        return placed.getOrDefault(incarnation, Set.of());
    }

    /**
     * Returns the task with a given id.
     *
     * @param id the id
     * @return the task, empty if its job is not known or has no such task
     */
    public Optional<JobTask> task(TaskId id) {
        return job(id.job()).filter(job -> job.has(id)).map(job -> job.task(id));
    }

    /**
     * Applies one command of the replicated log.
     *
     * @param command the command
     * @return {@link ResultCode#OK}, or the reason why the command changed nothing
     */
    public ResultCode apply(JobCommand command) {
        long nowMillis = command.getTimeMillis();
        return switch (command.getBodyCase()) {
            case ACCEPT -> accept(command.getAccept(), nowMillis);
            case CANCEL -> cancel(command.getCancel(), nowMillis);
            case PLACE -> place(command.getPlace(), nowMillis);
            case END -> endRuns(command.getEnd(), nowMillis);
            case LOSE -> loseRuns(command.getLose(), nowMillis);
            case SEE_WORKER -> seeWorker(command.getSeeWorker(), nowMillis);
            case END_WORKER -> endWorker(command.getEndWorker(), nowMillis);
            case FORGET -> forget(command.getForget().getJobsList());
            case PUT_QUEUES -> putQueues(command.getPutQueues());
            case CONFIRM_CAPACITIES -> confirmCapacities(command.getConfirmCapacities());
            case BEGIN -> begin(command.getBegin().getJobsList());
            case BODY_NOT_SET -> ResultCode.UNKNOWN_KIND;
        };
    }

    /**
     * Returns a snapshot of the whole state.
     *
     * @return the state as a message
     */
    public JobSnapshot snapshot() {
        JobSnapshot.Builder snapshot = JobSnapshot.newBuilder().setQueues(queues);
        workers.values()
                .forEach(worker -> snapshot.addWorkers(WorkerRecord.newBuilder()
                        .setLife(worker.incarnation())
                        .setSequence(worker.sequence())
                        .setClockMillis(worker.clockMillis())
                        .setOffset(worker.offset())));
        jobs.values().forEach(job -> snapshot.addJobs(job.toState()));
        return snapshot.addAllSilentWorkers(silentWorkers.toMessages())
                .addAllEarlyCancellations(earlyCancellations.toMessages())
                .addAllFormerOrganisations(organisations.former())
                .build();
    }

    /**
     * Restores the state from a snapshot.
     *
     * @param snapshot a message that {@link #snapshot} returned
     * @return the state
     */
    public static JobTable restore(JobSnapshot snapshot) {
        JobTable table = new JobTable();
        table.queues = snapshot.getQueues();
        table.organisations.restore(snapshot.getQueues().getOrganisationsList(), snapshot.getFormerOrganisationsList());
        snapshot.getWorkersList()
                .forEach(worker -> table.workers.put(
                        worker.getLife().getWorker(),
                        new WorkerEntry(
                                worker.getLife(), worker.getSequence(), worker.getClockMillis(), worker.getOffset())));
        snapshot.getJobsList().stream().map(Job::restore).forEach(job -> {
            table.jobs.put(job.id(), job);
            if (job.open()) {
                table.organisations.jobOpened(job);
            }
            job.tasks()
                    .forEach(task -> task.incarnation().ifPresent(incarnation -> {
                        table.mutablePlacedOn(incarnation).add(task.id());
                        table.organisations.charge(job, task.id().step());
                    }));
        });
        table.earlyCancellations.restore(snapshot.getEarlyCancellationsList());
        table.silentWorkers.restore(snapshot.getSilentWorkersList());
        table.silentWorkers.runs().forEach(run -> table.task(run.task()).ifPresent(JobTask::workerSilent));
        return table;
    }

    /** Tells the observer of a change; only one replica has one, so its failure must not affect the state. */
    private void tell(Consumer<Observer> change) {
        try {
            change.accept(observer);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "JOB observer failed", e);
            observerFailure = e;
        }
    }

    /**
     * Returns and clears the last failure of the observer.
     *
     * @return the failure, empty if the observer has handled all changes since the last call
     */
    public Optional<RuntimeException> takeObserverFailure() {
        Optional<RuntimeException> failure = Optional.ofNullable(observerFailure);
        observerFailure = null;
        return failure;
    }

    private ResultCode accept(AcceptJob command, long nowMillis) {
        Job known = jobs.get(command.getSpec().getId());
        if (known != null) {
            return known.organisation().equals(command.getOrganisation()) ? ResultCode.OK : ResultCode.KEY_REUSED;
        }
        boolean anonymous = command.getOrganisation().isEmpty();
        if (!anonymous && organisations.account(command.getOrganisation()).isEmpty()) {
            // Its organisation was removed since the leader's decision; nothing would limit what the job may hold.
            return ResultCode.UNAUTHENTICATED;
        }
        Job job = new Job(command.getSpec(), command.getQueue(), command.getOrganisation(), nowMillis);
        jobs.put(job.id(), job);
        organisations.jobOpened(job);
        tell(changes -> changes.accepted(job));
        if (earlyCancellations.remove(job.id(), job.organisation(), nowMillis)) {
            endJob(job, JobPhase.CANCELLED, nowMillis);
        }
        return ResultCode.OK;
    }

    private ResultCode cancel(CancelJob command, long nowMillis) {
        Job job = jobs.get(command.getJob());
        if (job == null) {
            earlyCancellations.add(command.getJob(), command.getOrganisation(), nowMillis);
            return ResultCode.NOT_FOUND;
        }
        if (command.getOfOrganisation() && !command.getOrganisation().equals(job.organisation())) {
            return ResultCode.NOT_FOUND;
        }
        endJob(job, JobPhase.CANCELLED, nowMillis);
        return ResultCode.OK;
    }

    private void endJob(Job job, JobPhase endPhase, long nowMillis) {
        if (job.open()) {
            job.end(endPhase, nowMillis);
            organisations.jobEnded(job);
            tell(changes -> changes.ended(job));
        }
    }

    private ResultCode place(PlaceRuns command, long nowMillis) {
        boolean valid = command.getPlacementsList().stream().allMatch(this::placeable);
        if (!valid) {
            return ResultCode.VERSION_CONFLICT;
        }
        Map<String, Capacity> added = new HashMap<>();
        command.getPlacementsList().stream()
                .map(placement -> TaskId.of(placement.getTask()))
                .forEach(id -> added.merge(
                        jobs.get(id.job()).organisation(),
                        Organisations.size(jobs.get(id.job()), id.step()),
                        Capacity::plus));
        if (command.getWithinQuota() && !organisations.allow(added)) {
            return ResultCode.OVER_QUOTA;
        }
        for (Placement placement : command.getPlacementsList()) {
            TaskId id = TaskId.of(placement.getTask());
            IncarnationId incarnation = new IncarnationId(placement.getWorker(), placement.getBornMillis());
            Job job = jobs.get(id.job());
            job.activate();
            job.task(id).place(placement.getRun(), incarnation, nowMillis);
            organisations.charge(job, id.step());
            mutablePlacedOn(incarnation).add(id);
            tell(changes -> changes.placed(new RunId(id, placement.getRun()), incarnation));
        }
        return ResultCode.OK;
    }

    private boolean placeable(Placement placement) {
        TaskId id = TaskId.of(placement.getTask());
        boolean awaitsPlacement = job(id.job()).filter(Job::open).isPresent()
                && task(id).filter(task -> task.awaitsPlacement() && placement.getRun() > task.run())
                        .isPresent();
        return awaitsPlacement
                && worker(placement.getWorker())
                        .filter(worker -> worker.id().bornMillis() == placement.getBornMillis())
                        .isPresent();
    }

    private ResultCode begin(List<String> ids) {
        ids.forEach(id -> job(id).ifPresent(Job::begin));
        return ResultCode.OK;
    }

    private ResultCode endRuns(EndRuns command, long nowMillis) {
        IncarnationId incarnation = new IncarnationId(command.getWorker(), command.getBornMillis());
        WorkerEntry worker = workers.get(command.getWorker());
        if (worker == null || !worker.id().equals(incarnation) || command.getOffset() <= worker.offset()) {
            return ResultCode.VERSION_CONFLICT;
        }
        worker.advance(command.getOffset());
        Set<Job> changedJobs = new LinkedHashSet<>();
        for (End end : command.getEndsList()) {
            task(TaskId.of(end.getTask())).ifPresent(task -> {
                Job job = jobs.get(task.id().job());
                recordEnd(job, task, end, incarnation, command.getCountedByRun());
                changedJobs.add(job);
            });
        }
        changedJobs.forEach(job -> endIfFinished(job, nowMillis));
        return ResultCode.OK;
    }

    private void recordEnd(Job job, JobTask task, End end, IncarnationId incarnation, boolean countedByRun) {
        job.begin();
        boolean current = task.runs(end.getRun(), incarnation);
        if (end.getKind() == EndKind.DONE && (current || task.awaitsPlacement())) {
            finish(job, task, end.getRun());
        }
        if (end.getKind() == EndKind.FAILED) {
            recordFailure(job, task, end.getRun(), current, countedByRun);
        }
        if (!current) {
            explainSilence(task, end.getRun(), incarnation);
            return;
        }
        task.save(end.getSaved());
        release(task, incarnation);
    }

    private static void recordFailure(Job job, JobTask task, int run, boolean current, boolean countedByRun) {
        boolean placedOnce = run > 0 && run <= task.run();
        if (countedByRun && placedOnce && job.limitsAttempts(task.id().step())) {
            // The run may have been given up before, or taken by a later incarnation; the task has failed all the same.
            task.fail(run);
        } else if (current) {
            task.fail();
        }
    }

    /** Records that a worker that had fallen silent lists the end of a run: it has not crashed with it. */
    private void explainSilence(JobTask task, int run, IncarnationId incarnation) {
        if (silentWorkers.remove(incarnation, new RunId(task.id(), run))) {
            task.silenceExplained();
            tell(changes -> changes.suspicionChanged(task.id()));
        }
    }

    private void finish(Job job, JobTask task, int run) {
        boolean gang = job.step(task.id().step()).getGang();
        if (gang) {
            // The tasks of a gang complete together, so a DONE end of one task completes all tasks of the same run.
            job.tasks(task.id().occurrence(), task.id().step()).stream()
                    .filter(member -> member.run() == run)
                    .forEach(this::finish);
        } else {
            finish(task);
        }
    }

    private void finish(JobTask task) {
        if (!task.done()) {
            task.finish();
            tell(changes -> changes.taskDone(task.id()));
        }
    }

    private void endIfFinished(Job job, long nowMillis) {
        if (job.open() && job.allDone()) {
            endJob(job, JobPhase.COMPLETED, nowMillis);
            return;
        }
        boolean startsExhausted = job.open() && job.tasks().anyMatch(CrashLimit::exhausted);
        if (job.open() && (job.attemptsExhausted() || startsExhausted)) {
            endJob(job, JobPhase.BROKEN_DOWN, nowMillis);
        }
    }

    private ResultCode loseRuns(LoseRuns command, long nowMillis) {
        Set<Job> changedJobs = new LinkedHashSet<>();
        for (RunKey run : command.getRunsList()) {
            task(TaskId.of(run.getTask()))
                    .filter(task ->
                            task.run() == run.getRun() && task.incarnation().isPresent())
                    .ifPresent(task -> {
                        task.save(run.getSaved());
                        lose(task, command.getCause());
                        changedJobs.add(jobs.get(task.id().job()));
                    });
        }
        changedJobs.forEach(job -> endIfFinished(job, nowMillis));
        return ResultCode.OK;
    }

    private void lose(JobTask task, LossCause cause) {
        IncarnationId incarnation = task.incarnation().orElseThrow();
        if (cause == LossCause.NEVER_STARTED || cause == LossCause.NOT_LISTED) {
            task.neverStarted();
        } else if (cause == LossCause.LEASE_EXPIRED) {
            worker(incarnation.worker())
                    .filter(worker -> worker.id().equals(incarnation))
                    .ifPresent(worker -> recordSilence(task, worker));
        }
        release(task, incarnation);
    }

    private void recordSilence(JobTask task, WorkerEntry worker) {
        silentWorkers.add(worker.incarnation(), new RunId(task.id(), task.run()));
        task.workerSilent();
    }

    private ResultCode seeWorker(SeeWorker command, long nowMillis) {
        WorkerLife incarnation = command.getLife();
        WorkerEntry known = workers.get(incarnation.getWorker());
        boolean stale = known != null && known.id().bornMillis() > incarnation.getBornMillis()
                || otherWorkersAt(incarnation).anyMatch(other -> other.id().bornMillis() > incarnation.getBornMillis());
        boolean sameIncarnation = known != null && known.id().bornMillis() == incarnation.getBornMillis();
        if (stale || sameIncarnation && command.getSequence() < known.sequence()) {
            return ResultCode.VERSION_CONFLICT;
        }
        if (known != null && !sameIncarnation) {
            end(known, WorkerEndCause.REPLACED, command.getOthersSilent(), nowMillis);
        }
        // Two processes cannot listen at the same address, so a worker announced there earlier has ended.
        otherWorkersAt(incarnation)
                .toList()
                .forEach(other -> end(other, WorkerEndCause.REPLACED, command.getOthersSilent(), nowMillis));
        silentWorkers.replacedBy(incarnation).forEach(life -> {
            boolean crashed = !life.getDraining();
            List<JobTask> aboard = takeSilent(life, crashed, !command.getOthersSilent(), nowMillis);
            if (crashed) {
                giveUpCrashing(aboard, !command.getOthersSilent(), nowMillis);
            }
        });
        WorkerEntry entry = new WorkerEntry(
                incarnation, command.getSequence(), command.getClockMillis(), sameIncarnation ? known.offset() : 0);
        workers.put(incarnation.getWorker(), entry);
        tell(changes -> changes.workerAnnounced(entry));
        return ResultCode.OK;
    }

    private ResultCode confirmCapacities(ConfirmCapacities command) {
        command.getConfirmationsList()
                .forEach(confirmation -> worker(confirmation.getWorker())
                        .filter(worker -> worker.id().bornMillis() == confirmation.getBornMillis())
                        .ifPresent(
                                worker -> worker.confirm(confirmation.getSequence(), confirmation.getClockMillis())));
        return ResultCode.OK;
    }

    private Stream<WorkerEntry> otherWorkersAt(WorkerLife incarnation) {
        return workers.values().stream()
                .filter(other -> other.incarnation().getAddress().equals(incarnation.getAddress())
                        && !other.incarnation().getWorker().equals(incarnation.getWorker()));
    }

    private ResultCode endWorker(EndWorker command, long nowMillis) {
        WorkerEntry worker = workers.get(command.getWorker());
        if (worker == null || worker.id().bornMillis() != command.getBornMillis()) {
            return ResultCode.VERSION_CONFLICT;
        }
        end(worker, command.getCause(), command.getOthersSilent(), nowMillis);
        return ResultCode.OK;
    }

    private void end(WorkerEntry worker, WorkerEndCause cause, boolean othersSilent, long nowMillis) {
        List<JobTask> tasks =
                placedOn(worker.id()).stream().map(id -> task(id).orElseThrow()).toList();
        boolean crashed =
                cause == WorkerEndCause.REPLACED && !worker.incarnation().getDraining();
        List<JobTask> aboard = new ArrayList<>(tasks);
        if (cause == WorkerEndCause.SILENT) {
            tasks.forEach(task -> recordSilence(task, worker));
        } else {
            aboard.addAll(takeSilent(worker.incarnation(), crashed, !othersSilent, nowMillis));
        }
        if (crashed) {
            tasks.forEach(task -> recordCrash(task, !othersSilent, nowMillis));
        }
        tasks.forEach(task -> release(task, worker.id()));
        if (crashed) {
            giveUpCrashing(aboard, !othersSilent, nowMillis);
        }
        placed.remove(worker.id());
        workers.remove(worker.incarnation().getWorker());
        List<RunId> runs =
                tasks.stream().map(task -> new RunId(task.id(), task.run())).toList();
        tell(changes -> changes.workerEnded(worker.id(), runs, cause));
    }

    private void recordCrash(JobTask task, boolean singleWorker, long nowMillis) {
        if (CrashLimit.counts(jobs.get(task.id().job()), task, nowMillis)) {
            task.crashed(singleWorker);
        } else {
            task.cleared();
        }
    }

    /** Records what has happened to a silent incarnation; returns the tasks that were lost with it. */
    private List<JobTask> takeSilent(WorkerLife life, boolean crashed, boolean singleWorker, long nowMillis) {
        List<JobTask> tasks = silentWorkers.take(IncarnationId.of(life)).stream()
                .flatMap(run -> task(run.task()).stream())
                .toList();
        if (crashed) {
            tasks.forEach(task -> recordCrash(task, singleWorker, nowMillis));
        }
        tasks.forEach(JobTask::silenceExplained);
        tasks.forEach(task -> tell(changes -> changes.suspicionChanged(task.id())));
        return tasks;
    }

    /** Gives up the jobs that the crash of a worker with these tasks proves to be its cause, or that may not start again. */
    private void giveUpCrashing(List<JobTask> aboard, boolean singleWorker, long nowMillis) {
        boolean proved = singleWorker && CrashLimit.proves(aboard);
        aboard.stream()
                .map(task -> jobs.get(task.id().job()))
                .distinct()
                .filter(job -> job.open() && (proved || job.tasks().anyMatch(CrashLimit::exhausted)))
                .forEach(job -> endJob(job, JobPhase.BROKEN_DOWN, nowMillis));
    }

    private ResultCode forget(List<String> ids) {
        for (String id : ids) {
            boolean removable = job(id).filter(job -> !job.open()
                            && job.tasks().allMatch(task -> task.incarnation().isEmpty()))
                    .isPresent();
            if (removable) {
                jobs.remove(id);
                silentWorkers.forgetJob(id);
            }
        }
        return ResultCode.OK;
    }

    private ResultCode putQueues(QueueTable newQueues) {
        if (newQueues.getVersion() > queues.getVersion()) {
            queues = newQueues;
            organisations.declare(newQueues.getOrganisationsList());
        }
        return ResultCode.OK;
    }

    private void release(JobTask task, IncarnationId incarnation) {
        task.release();
        organisations.refund(jobs.get(task.id().job()), task.id().step());
        mutablePlacedOn(incarnation).remove(task.id());
        tell(changes -> changes.released(new RunId(task.id(), task.run()), incarnation));
    }

    private Set<TaskId> mutablePlacedOn(IncarnationId incarnation) {
        return placed.computeIfAbsent(incarnation, key -> new LinkedHashSet<>());
    }
}
