package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.core.share.SharedAdmission;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.BeginJobs;
import org.wasabimount.protocol.job.ExplainedStep;
import org.wasabimount.protocol.job.ForgetJobs;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.WorkerEndCause;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * Schedules the accepted jobs during one term of one leader.
 *
 * <p>Receives events with their time; {@link #work} returns the actions to carry out. One instance is used for one
 * term; the next leader creates its own from the table.
 */
public final class Dispatcher implements JobTable.Observer {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /**
     * Minimum time between two placement passes, in milliseconds, so that events that arrive together cause one pass; a
     * small part of the shortest objective.
     */
    private static final long MIN_PASS_INTERVAL_MILLIS = 5;

    /** Interval between checks for steps whose time has come, in milliseconds; a part of the allowed delay. */
    private static final long DUE_CHECK_INTERVAL_MILLIS = 40;

    /**
     * Interval at which announced capacities and begun jobs are recorded, in milliseconds; a part of the time for which
     * capacities hold.
     */
    private static final long CONFIRM_INTERVAL_MILLIS = 1_000;

    /** Interval between scans for ended jobs to forget, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 1_000;

    /**
     * Additional time for which an ended job is kept after its status can no longer be queried, in milliseconds: covers
     * clock differences.
     */
    private static final long STATUS_MARGIN_MILLIS = 10_000;

    /** Maximum number of steps of a job that an explanation covers. */
    private static final int MAX_EXPLAINED_STEPS = 8;

    /** Maximum number of jobs forgotten by one command. */
    private static final int MAX_JOBS_PER_FORGET = 200;

    private final DispatchSettings settings;
    private final JobTable table;
    private final Set<String> excludedJobs;
    private final WorkerManager workers;
    private final AdviceManager advice = new AdviceManager();
    private final ExaminedCounts examined = new ExaminedCounts();
    private final WaitSampler waits;
    private final IdleJobs idleJobs = new IdleJobs();
    private final StepPlacement placement;
    private final WorkAhead workAhead = new WorkAhead(examined);
    private final SharedAdmission shares = new SharedAdmission();
    private final Map<String, JobPlan> plans = new LinkedHashMap<>();

    /** The steps whose tasks or dependencies have changed since the last pass. */
    private final Set<OpenStep> changedSteps = new LinkedHashSet<>();

    /** The steps that wait for the time at which they are due. */
    private final Set<OpenStep> scheduledSteps = new LinkedHashSet<>();

    /** The jobs that have begun, of which that is not recorded in the table yet. */
    private final Set<String> begunJobs = new LinkedHashSet<>();

    private final Map<String, Queue> queuesByName = new HashMap<>();
    private long queuesVersion = Long.MIN_VALUE;
    private List<DispatchAction> actions = new ArrayList<>();
    private Consumer<Job> ended = job -> {};
    private Consumer<WorkerEndCause> workerEnded = cause -> {};
    private long nowMillis;
    private long confirmDueMillis;
    private long forgetDueMillis;
    private long dueCheckMillis;
    private long lastPassMillis = Long.MIN_VALUE / 2;

    /**
     * Takes over from the previous leader.
     *
     * @param settings the fixed parameters
     * @param table the replicated state; the new instance becomes its observer
     * @param order the order in which steps are considered
     * @param fence the leader's term, higher than that of any previous leader
     * @param excludedJobs the jobs whose steps are not considered, because that has failed unexpectedly
     * @param nowMillis the current monotonic time, in milliseconds
     * @param wallMillis the current time of day, in milliseconds since 1970
     */
    public Dispatcher(
            DispatchSettings settings,
            JobTable table,
            SchedulingOrder order,
            long fence,
            Set<String> excludedJobs,
            long nowMillis,
            long wallMillis) {
        this.settings = settings;
        this.table = table;
        this.excludedJobs = Set.copyOf(excludedJobs);
        this.nowMillis = nowMillis;
        this.workers = new WorkerManager(settings, table, fence, this::add, examined, nowMillis);
        this.workers.setBegunListener(this::begun);
        this.waits = new WaitSampler(workers, advice);
        this.placement = new StepPlacement(workers, advice, waits, order, this::add, this::proposed, examined);
        workAhead.setListener(change -> shares.workChanged(change.organisation(), change.added()));
        this.placement.prefer(workers.interference().and(workers.speeds().preference(() -> this.nowMillis)));
        this.waits.setIdleSampler(new IdleSampler(idleJobs, workers, advice, placement)::sample);
        table.jobs().stream().filter(Job::open).forEach(job -> {
            long ageMillis = Math.max(0, wallMillis - job.acceptedMillis());
            plan(job, nowMillis - ageMillis, false);
        });
        table.setObserver(this);
    }

    /** Replaces the preference among workers that fit. */
    void prefer(WorkerPreference preference) {
        placement.prefer(preference);
    }

    /**
     * Sets the listener for ended jobs.
     *
     * @param listener receives each job when it has ended
     */
    public void setJobEndListener(Consumer<Job> listener) {
        ended = listener;
    }

    /**
     * Sets the listener for ended incarnations of workers.
     *
     * @param listener receives the cause of each end
     */
    public void setWorkerEndListener(Consumer<WorkerEndCause> listener) {
        workerEnded = listener;
    }

    /**
     * Sets the listener for reservations that are given back before the tasks have started.
     *
     * @param listener receives the cause for each reservation, or for each worker that a part of it was on
     */
    public void setReservationListener(Consumer<ReservationEnd> listener) {
        placement.setReservationListener(listener);
    }

    /**
     * Sets the listener for gangs that were placed and are not started, because a worker's capacity is not known or has
     * shrunk.
     *
     * @param listener called for each such gang
     */
    public void setGangWithheldListener(Runnable listener) {
        workers.setGangWithheldListener(listener);
    }

    /**
     * Sets the listener for decisions about tasks that slow each other.
     *
     * @param listener receives each decision
     */
    public void setInterferenceListener(Consumer<InterferenceEvent> listener) {
        workers.interference().setListener(listener);
    }

    /**
     * Sets the listener for completed advice calls.
     *
     * @param listener receives each call when it is answered, has failed or is overdue
     */
    public void setAdviceCallListener(Consumer<CompletedAdviceCall> listener) {
        advice.setCallListener(listener);
    }

    /**
     * Sets the listener for the dispatcher's status.
     *
     * @param listener receives a sample at most once a second
     */
    public void setStatusListener(Consumer<DispatchStatus> listener) {
        waits.setListener(listener);
    }

    /**
     * Sets the time of the events and changes that follow.
     *
     * @param newMillis the current monotonic time, in milliseconds
     */
    public void at(long newMillis) {
        nowMillis = newMillis;
    }

    /**
     * Sets the VMs that can currently call the advice service.
     *
     * @param vms the names of the VMs
     */
    public void callers(Collection<String> vms) {
        advice.callers(vms);
    }

    /**
     * Returns the call by which a worker has to confirm its announcement before {@link #announcementReceived}, because
     * anyone may announce any worker at any address: a new incarnation ends the one before and those at its address.
     *
     * @param announcement the announcement
     * @return the call to the announced address, empty if the incarnation is known
     */
    public Optional<DispatchAction.RenewLease> confirmationCall(Announce announcement) {
        return workers.trackedWorker(IncarnationId.of(announcement.getLife())).isPresent()
                ? Optional.empty()
                : Optional.of(workers.confirmationCall(announcement));
    }

    /**
     * Receives the response to a {@link #confirmationCall}.
     *
     * @param announcement the announcement
     * @param result the response
     * @return the command to propose, empty if the announced incarnation does not respond at its address, or if there is
     *     nothing to record
     */
    public Optional<JobCommand> announcementAnswered(Announce announcement, LeaseRenewalResult result) {
        WorkerLife life = announcement.getLife();
        boolean confirmed = result.outcome() == OrderOutcome.DONE
                && (result.bornMillis() == life.getBornMillis() || result.bornMillis() == 0);
        if (!confirmed) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER not confirmed worker={0} address={1} answer={2} born={3}",
                    IncarnationId.of(life),
                    life.getAddress(),
                    result.outcome(),
                    Long.toString(result.bornMillis()));
            return Optional.empty();
        }
        return announcementReceived(announcement);
    }

    /**
     * Receives an announcement that a worker has confirmed, or that is about a known incarnation.
     *
     * @param announcement the announcement
     * @return the command to propose so that later leaders know of a new or changed worker, empty if there is nothing
     *     to record
     */
    public Optional<JobCommand> announcementReceived(Announce announcement) {
        IncarnationId incarnation = IncarnationId.of(announcement.getLife());
        Optional<TrackedWorker> recordedState = workers.trackedWorker(incarnation);
        boolean contradicts = recordedState
                .map(TrackedWorker::entry)
                .filter(entry -> !describesSameProcess(entry.incarnation(), announcement.getLife()))
                .isPresent();
        if (contradicts) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER announcement ignored worker={0} address={1} pool={2} reason=differs from the recorded one",
                    incarnation,
                    announcement.getLife().getAddress(),
                    announcement.getLife().getPool());
            return Optional.empty();
        }
        boolean overtaken = recordedState.isPresent()
                && !workers.announcementReceived(recordedState.get(), announcement, nowMillis);
        if (overtaken) {
            return Optional.empty();
        }
        boolean unrecorded = recordedState
                .map(trackedWorker -> differs(trackedWorker.entry().incarnation(), announcement.getLife()))
                .orElse(true);
        return unrecorded && !workers.closeEarlierIncarnations(announcement.getLife(), nowMillis)
                ? Optional.of(JobCommand.newBuilder()
                        .setSeeWorker(SeeWorker.newBuilder()
                                .setLife(announcement.getLife())
                                .setSequence(announcement.getSequence())
                                .setClockMillis(announcement.getClockMillis())
                                .setOthersSilent(workers.othersSilentWithEarlier(announcement.getLife())))
                        .build())
                : Optional.empty();
    }

    /** Returns whether two announcements of an incarnation agree in what can't change during its life. */
    private static boolean describesSameProcess(WorkerLife recorded, WorkerLife announced) {
        return recorded.equals(announced)
                || recorded.equals(announced.toBuilder()
                        .setCapacity(recorded.getCapacity())
                        .setDraining(recorded.getDraining())
                        .build());
    }

    private static boolean differs(WorkerLife recordedState, WorkerLife announcedState) {
        // Draining cannot be undone; an announcement sent before the worker began to drain may still arrive.
        return !recordedState.equals(announcedState) && (!recordedState.getDraining() || announcedState.getDraining());
    }

    /** Records that the host was suspended, so that announcements may be older than the clock tells. */
    public void hostWasSuspended() {
        workers.capacitiesUnknown(nowMillis);
    }

    /**
     * Handles the notice of a worker that it has left: its incarnation ends with all its runs, as soon as the worker does
     * not answer.
     *
     * <p>A notice names no incarnation and may arrive when a later one is at work, so it is ignored unless the current
     * incarnation has announced that it drains.
     *
     * @param worker the worker's id
     */
    public void workerLeft(String worker) {
        table.worker(worker)
                .flatMap(entry -> workers.trackedWorker(entry.id()))
                .ifPresent(trackedWorker -> workers.leaveReceived(trackedWorker, nowMillis));
    }

    /**
     * Receives the outcome of a start.
     *
     * @param run the run
     * @param incarnation the worker's incarnation
     * @param result the outcome of the call
     * @param clockMillis the worker's clock in milliseconds, if the response carried it
     */
    public void startCompleted(RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis) {
        if (result == OrderOutcome.NO_TICKET) {
            advice.ticketRejected(run.task().stepId(), incarnation);
        }
        workers.startCompleted(run, incarnation, result, clockMillis, nowMillis);
    }

    /**
     * Receives the outcome of a stop.
     *
     * @param run the run
     * @param incarnation the worker's incarnation
     * @param result the outcome of the call
     * @param clockMillis the worker's clock in milliseconds, if the response carried it
     */
    public void stopCompleted(RunId run, IncarnationId incarnation, OrderOutcome result, OptionalLong clockMillis) {
        workers.stopCompleted(run, incarnation, result, clockMillis, nowMillis);
    }

    /**
     * Receives the outcome of a pacing order.
     *
     * @param order the order
     * @param result the outcome of the call
     * @param clockMillis the worker's clock in milliseconds, if the response carried it
     */
    public void paceCompleted(DispatchAction.Pace order, OrderOutcome result, OptionalLong clockMillis) {
        workers.paceCompleted(order, result, clockMillis, nowMillis);
    }

    /**
     * Receives the result of a lease renewal.
     *
     * @param incarnation the worker's incarnation
     * @param result the result
     * @param requestedMillis the time when the renewal was sent, as monotonic time in milliseconds
     */
    public void leaseRenewalCompleted(IncarnationId incarnation, LeaseRenewalResult result, long requestedMillis) {
        workers.leaseRenewalCompleted(incarnation, result, requestedMillis, nowMillis);
    }

    /**
     * Receives the result of an advice call.
     *
     * @param callId the number of the call
     * @param result the result
     */
    public void advised(long callId, AdviceResult result) {
        advice.answered(callId, result, nowMillis);
    }

    /**
     * Reverts the local effects of a command that was rejected when it was applied.
     *
     * @param command the command
     */
    public void refused(JobCommand command) {
        if (command.hasPlace()) {
            PlaceRuns place = command.getPlace();
            place.getPlacementsList().forEach(placement -> {
                TaskId task = TaskId.of(placement.getTask());
                RunId run = new RunId(task, placement.getRun());
                workers.refused(run, new IncarnationId(placement.getWorker(), placement.getBornMillis()));
                this.placement.quota().refused(run, organisation(task));
                update(task, OpenStep::settled);
            });
        }
        if (command.hasEnd()) {
            workers.trackedWorker(new IncarnationId(
                            command.getEnd().getWorker(), command.getEnd().getBornMillis()))
                    .ifPresent(trackedWorker -> trackedWorker.recordProposedOffset(
                            trackedWorker.entry().offset()));
        }
    }

    /**
     * Returns whether a task of a job has begun: a worker has shown that it has had one.
     *
     * @param job the job
     * @return true from then on
     */
    public boolean begun(Job job) {
        return job.begun() || begunJobs.contains(job.id());
    }

    private void begun(TaskId task) {
        table.job(task.job()).filter(job -> !job.begun()).ifPresent(job -> begunJobs.add(job.id()));
    }

    /**
     * Decides whether a job that belongs to no organisation may be accepted.
     *
     * @param spec the job
     * @param queue the queue to which it was submitted
     * @return the refusal, empty if the job is accepted
     */
    public Optional<Refusal> admit(JobSpec spec, Queue queue) {
        return admit(spec, queue, "");
    }

    /**
     * Decides whether a job may be accepted.
     *
     * @param spec the job
     * @param queue the queue to which it was submitted
     * @param organisation the organisation that submits it, empty if it belongs to none
     * @return the refusal, empty if the job is accepted
     */
    public Optional<Refusal> admit(JobSpec spec, Queue queue, String organisation) {
        return judge(spec, queue, organisation, shares::decide);
    }

    /**
     * Returns what {@link #admit(JobSpec, Queue, String)} would return, and changes nothing.
     *
     * @param spec the job
     * @param queue the queue to which it would be submitted
     * @param organisation the organisation that would submit it, empty if it belongs to none
     * @return the refusal, empty if the job would be accepted
     */
    public Optional<Refusal> wouldRefuse(JobSpec spec, Queue queue, String organisation) {
        return judge(spec, queue, organisation, shares::preview);
    }

    /** Decides on a job of an organisation, without effect or with it. */
    @FunctionalInterface
    private interface SharedDecision {
        Optional<Refusal> of(SharedAdmission.Submission submission, SharedAdmission.Load load, long nowMillis);
    }

    private Optional<Refusal> judge(JobSpec spec, Queue queue, String organisation, SharedDecision decision) {
        readQueues();
        long usableCpuMillis = workers.cpuMillisForAdmission(queue.getPool());
        boolean shared = usableCpuMillis > 0 && shares.appliesTo(organisation);
        long arrivedMillis = shared ? shares.firstMillis(spec.getId(), nowMillis) : nowMillis;
        long criticalPathMillis = JobPlan.criticalPathMillis(spec, queue);
        long objectiveMillis = JobPlan.objectiveMillis(spec, queue);
        long latestStartMillis = arrivedMillis + objectiveMillis - criticalPathMillis;
        // Late work that can't be done meanwhile would never be done if newcomers were accepted all the same.
        boolean countsLate = shared && queue.getPriority() > 0;
        double ahead = workAhead.before(queue, countsLate ? Long.MIN_VALUE : nowMillis, latestStartMillis);
        if (!shared) {
            return Admission.decide(spec, queue, ahead, usableCpuMillis);
        }
        return decision.of(
                new SharedAdmission.Submission(
                        spec.getId(),
                        organisation,
                        queue.getPriority() == 0,
                        JobPlan.work(spec),
                        criticalPathMillis,
                        objectiveMillis),
                new SharedAdmission.Load(
                        ahead,
                        workAhead.waitingWork(),
                        queue.getPriority() > 0 && JobPlan.hasGang(spec) ? workAhead.gatherMillis(usableCpuMillis) : 0,
                        usableCpuMillis),
                nowMillis);
    }

    /**
     * Explains where the waiting tasks of a job would go now, and what they wait for. Changes nothing; costs as much as a
     * pass in which the job's first steps are considered.
     *
     * @param job the job, which may or may not have been accepted
     * @param wallMillis the current time of day, in milliseconds since 1970
     * @return the first steps with waiting tasks
     */
    public List<ExplainedStep> explain(Job job, long wallMillis) {
        JobPlan plan = plans.getOrDefault(job.id(), new JobPlan(job, nowMillis, false));
        StepExplainer explainer = new StepExplainer(placement, advice, waits, nowMillis);
        placement.at(nowMillis);
        return plan.steps().stream()
                .filter(OpenStep::hasUnplaced)
                .limit(MAX_EXPLAINED_STEPS)
                .map(step -> {
                    ReadyStep ready = readyStep(plan, step);
                    if (!plan.unblocked(step)) {
                        return StepExplainer.notReady(ready, "earlier_steps");
                    }
                    return wallMillis < job.dueMillis(step.id().occurrence())
                            ? StepExplainer.notReady(ready, "due_time")
                            : explainer.explain(ready);
                })
                .toList();
    }

    /**
     * Returns the actions that are due now.
     *
     * @param wallMillis the current time of day, in milliseconds since 1970
     * @return the actions, in the order in which they must be carried out
     */
    public List<DispatchAction> work(long wallMillis) {
        advice.tick(nowMillis);
        workers.tick(nowMillis);
        placement.at(nowMillis);
        readQueues();
        if (nowMillis >= dueCheckMillis) {
            dueCheckMillis = nowMillis + DUE_CHECK_INTERVAL_MILLIS;
            examined.add(ExaminedCounts.Part.READY, scheduledSteps.size());
            changedSteps.addAll(scheduledSteps);
        }
        boolean passDue = !changedSteps.isEmpty() || placement.passDue();
        if (passDue && nowMillis >= lastPassMillis + MIN_PASS_INTERVAL_MILLIS) {
            lastPassMillis = nowMillis;
            List<OpenStep> changed = List.copyOf(changedSteps);
            changedSteps.clear();
            changed.forEach(step -> StepFailure.guard(step.id(), () -> refresh(step, wallMillis)));
            placement.pass();
        }
        if (nowMillis >= forgetDueMillis) {
            forgetDueMillis = nowMillis + FORGET_INTERVAL_MILLIS;
            forget(wallMillis);
        }
        boolean commitsAnyway = actions.stream().anyMatch(action -> action instanceof DispatchAction.Propose);
        if (commitsAnyway && nowMillis >= confirmDueMillis) {
            confirmDueMillis = nowMillis + CONFIRM_INTERVAL_MILLIS;
            workers.confirmCapacities().ifPresent(command -> add(new DispatchAction.Propose(command)));
            recordBegunJobs();
        }
        List<DispatchAction> dueActions = actions;
        actions = new ArrayList<>();
        return dueActions;
    }

    private void recordBegunJobs() {
        begunJobs.removeIf(id -> table.job(id).map(Job::begun).orElse(true));
        if (!begunJobs.isEmpty()) {
            add(new DispatchAction.Propose(JobCommand.newBuilder()
                    .setBegin(BeginJobs.newBuilder().addAllJobs(begunJobs))
                    .build()));
        }
    }

    /** Reads the queues again if they have changed: a waiting step follows the current definition of its queue. */
    private void readQueues() {
        if (table.queues().getVersion() != queuesVersion) {
            queuesVersion = table.queues().getVersion();
            queuesByName.clear();
            table.queues().getQueuesList().forEach(queue -> queuesByName.put(queue.getName(), queue));
            shares.declare(
                    table.queues().getOrganisationsList().stream()
                            .collect(Collectors.toMap(Organisation::getName, Organisation::getWeight)),
                    nowMillis);
            plans.values().forEach(plan -> changedSteps.addAll(plan.steps()));
            placement.quota().quotasChanged();
        }
    }

    private void refresh(OpenStep step, long wallMillis) {
        examined.add(ExaminedCounts.Part.READY, 1);
        JobPlan plan = plans.get(step.id().job());
        scheduledSteps.remove(step);
        recordReadiness(plan, step, wallMillis);
        if (plan == null || plan.waiting(step).isEmpty() || !plan.unblocked(step)) {
            placement.remove(step.id());
        } else if (wallMillis < plan.job().dueMillis(step.id().occurrence())) {
            scheduledSteps.add(step);
            placement.remove(step.id());
        } else {
            placement.ready(readyStep(plan, step));
        }
    }

    private void recordReadiness(JobPlan plan, OpenStep step, long wallMillis) {
        boolean ready = plan != null
                && step.hasUnplaced()
                && plan.unblocked(step)
                && wallMillis >= plan.job().dueMillis(step.id().occurrence());
        idleJobs.ready(step.id(), ready, nowMillis);
    }

    private ReadyStep readyStep(JobPlan plan, OpenStep step) {
        long latestStartMillis = plan.dueMillis(step.id().occurrence())
                - plan.criticalPathMillis(step.id().step());
        Queue accepted = plan.job().queue();
        Queue queue = queuesByName.getOrDefault(accepted.getName(), accepted);
        return new ReadyStep(
                plan.job(),
                queue,
                step.id(),
                plan.waiting(step),
                latestStartMillis,
                nowMillis > latestStartMillis,
                plan.beyondShare(),
                plan.isolated(step));
    }

    private void plan(Job job, long arrivedMillis, boolean beyondShare) {
        if (excludedJobs.contains(job.id())) {
            return;
        }
        JobPlan plan = new JobPlan(job, arrivedMillis, beyondShare);
        plans.put(job.id(), plan);
        idleJobs.opened(job);
        workAhead.update(plan);
        changedSteps.addAll(plan.steps());
    }

    /** Has a change of a task recorded in its open step, if its job is open. */
    private void update(TaskId id, BiConsumer<OpenStep, JobTask> change) {
        JobPlan plan = plans.get(id.job());
        if (plan != null) {
            OpenStep step = plan.step(id.occurrence(), id.step());
            change.accept(step, table.task(id).orElseThrow());
            workAhead.update(plan);
            changedSteps.add(step);
            if (plan.recordSuspects(step) || step.finished()) {
                changedSteps.addAll(plan.steps());
            }
        }
    }

    private void forget(long wallMillis) {
        long before = wallMillis - settings.statusMillis() - STATUS_MARGIN_MILLIS;
        List<String> expiredJobs = table.jobs().stream()
                .filter(job -> !job.open() && job.endedMillis() < before)
                .filter(job -> job.tasks().allMatch(task -> task.incarnation().isEmpty()))
                .limit(MAX_JOBS_PER_FORGET)
                .map(Job::id)
                .toList();
        if (!expiredJobs.isEmpty()) {
            add(new DispatchAction.Propose(JobCommand.newBuilder()
                    .setForget(ForgetJobs.newBuilder().addAllJobs(expiredJobs))
                    .build()));
        }
    }

    @Override
    public void accepted(Job job) {
        Optional<SharedAdmission.Acceptance> acceptance = shares.committed(job.id());
        plan(
                job,
                acceptance.map(SharedAdmission.Acceptance::firstMillis).orElse(nowMillis),
                acceptance.map(SharedAdmission.Acceptance::beyondShare).orElse(false));
    }

    @Override
    public void placed(RunId run, IncarnationId incarnation) {
        placement.quota().placed(run, organisation(run.task()));
        workers.placed(run, incarnation, nowMillis);
        idleJobs.placed(run.task(), nowMillis);
        update(run.task(), OpenStep::settled);
    }

    @Override
    public void released(RunId run, IncarnationId incarnation) {
        placement.quota().released(organisation(run.task()));
        workers.released(run, incarnation, nowMillis);
        idleJobs.released(run.task(), nowMillis);
        update(run.task(), OpenStep::settled);
    }

    @Override
    public void taskDone(TaskId task) {
        update(task, OpenStep::completed);
    }

    @Override
    public void suspicionChanged(TaskId task) {
        update(task, OpenStep::suspicionChanged);
    }

    private String organisation(TaskId task) {
        return table.job(task.job()).map(Job::organisation).orElse("");
    }

    private void proposed(TaskId task) {
        update(task, OpenStep::proposed);
    }

    @Override
    public void ended(Job job) {
        idleJobs.ended(job.id());
        JobPlan plan = plans.remove(job.id());
        if (plan != null) {
            workAhead.remove(plan);
            changedSteps.removeAll(plan.steps());
            scheduledSteps.removeAll(plan.steps());
            plan.steps().forEach(step -> placement.remove(step.id()));
        }
        advice.forgetJob(job.id());
        workers.jobEnded(job, nowMillis);
        ended.accept(job);
        LOG.log(
                System.Logger.Level.INFO,
                "JOB ended job={0} queue={1} phase={2} tookMillis={3} crashes={4} failedAttempts={5} maxAttempts={6}",
                job.id(),
                job.queue().getName(),
                job.phase(),
                Long.toString(job.endedMillis() - job.acceptedMillis()),
                job.tasks().mapToInt(JobTask::crashes).max().orElse(0),
                job.failedAttempts(),
                job.queue().getMaxAttempts());
    }

    @Override
    public void workerAnnounced(WorkerEntry worker) {
        workers.recordWorker(worker, nowMillis);
    }

    @Override
    public void workerEnded(IncarnationId incarnation, List<RunId> runs, WorkerEndCause cause) {
        workers.ended(incarnation, runs, cause);
        workerEnded.accept(cause);
    }

    /** Returns how many items were examined so far. */
    ExaminedCounts examined() {
        return examined;
    }

    private void add(DispatchAction action) {
        actions.add(action);
    }
}
