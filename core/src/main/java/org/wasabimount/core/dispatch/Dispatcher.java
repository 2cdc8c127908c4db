package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.ForgetJobs;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.PlaceRuns;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.SeeWorker;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * Decides, for one term of one leader, what becomes of the accepted jobs.
 *
 * <p>Events come in with their time, {@link #work} says what is to be done. One instance lives as long as its leader
 * leads; the next leader makes its own from the table.
 */
public final class Dispatcher implements JobTable.Observer {

    private static final System.Logger LOG = System.getLogger("wasabimount.dispatch");

    /** Longest time between two rounds of placement, in milliseconds; tickets and due times pass without an event. */
    private static final long ROUND_MILLIS = 40;

    /** How often ended jobs are looked through for those to forget, in milliseconds. */
    private static final long FORGET_EVERY_MILLIS = 1_000;

    /** Kept beyond the time in which a job can be asked about, in milliseconds: covers clocks that differ. */
    private static final long STATUS_MARGIN_MILLIS = 10_000;

    /** Jobs forgotten by one command. */
    private static final int FORGET_AT_ONCE = 200;

    private final DispatchSettings settings;
    private final JobTable table;
    private final SchedulingOrder order;
    private final WorkerManager workers;
    private final AdviceManager advice = new AdviceManager();
    private final Map<String, JobPlan> plans = new LinkedHashMap<>();
    private List<DispatchAction> actions = new ArrayList<>();
    private Consumer<Job> ended = job -> {};
    private long nowMillis;
    private long forgetDueMillis;
    private long roundDueMillis;
    private boolean changed = true;

    /**
     * Takes over from the leader before.
     *
     * @param settings the fixed parameters
     * @param table the replicated state; this becomes its observer
     * @param order the order in which steps are considered
     * @param fence the leader's term, higher than that of any leader before
     * @param nowMillis the current monotonic time
     * @param wallMillis the current time of day, in milliseconds since 1970
     */
    public Dispatcher(
            DispatchSettings settings,
            JobTable table,
            SchedulingOrder order,
            long fence,
            long nowMillis,
            long wallMillis) {
        this.settings = settings;
        this.table = table;
        this.order = order;
        this.nowMillis = nowMillis;
        this.workers = new WorkerManager(settings, table, fence, this::add, nowMillis);
        table.jobs().stream().filter(Job::open).forEach(job -> {
            long agoMillis = Math.max(0, wallMillis - job.acceptedMillis());
            plans.put(job.id(), new JobPlan(job, nowMillis - agoMillis));
        });
        table.setObserver(this);
    }

    /**
     * Sets who is told of ended jobs.
     *
     * @param listener takes each job when it has ended
     */
    public void onEnded(Consumer<Job> listener) {
        ended = listener;
    }

    /**
     * Sets the time of the changes that are applied next.
     *
     * @param newMillis the current monotonic time
     */
    public void at(long newMillis) {
        nowMillis = newMillis;
    }

    /**
     * Sets which VMs can call the advice service now.
     *
     * @param vms their names
     */
    public void callers(Collection<String> vms) {
        advice.callers(vms);
    }

    /**
     * Takes a worker's announcement.
     *
     * @param announcement what the worker says of itself
     * @return the command that makes news of it known to later leaders, empty if there is none; it has to be proposed
     */
    public Optional<JobCommand> announced(Announce announcement) {
        IncarnationId incarnation = IncarnationId.of(announcement.getLife());
        Optional<TrackedWorker> known = workers.link(incarnation);
        known.ifPresent(link -> {
            boolean draining = announcement.getLife().getDraining();
            if (link.announced(draining, announcement.getSequence(), nowMillis)) {
                link.clock().read(announcement.getClockMillis(), nowMillis);
                changed = changed || draining;
            }
        });
        boolean news = known.map(link -> tellsNews(link.entry().incarnation(), announcement.getLife()))
                .orElse(true);
        return news && !workers.looksFirst(announcement.getLife())
                ? Optional.of(JobCommand.newBuilder()
                        .setSeeWorker(SeeWorker.newBuilder().setLife(announcement.getLife()))
                        .build())
                : Optional.empty();
    }

    private static boolean tellsNews(WorkerLife known, WorkerLife said) {
        // A worker that leaves goes on leaving; what it sent before may still arrive.
        return !known.equals(said) && (!known.getDraining() || said.getDraining());
    }

    /**
     * Takes a worker's word that it leaves: everything on it ends.
     *
     * @param worker the worker's id
     */
    public void left(String worker) {
        table.worker(worker)
                .flatMap(entry -> workers.link(entry.id()))
                .ifPresent(link -> workers.endLife(link, "it left"));
    }

    /**
     * Takes the answer to a start.
     *
     * @param run the run
     * @param incarnation the worker's life
     * @param answer the answer
     * @param clockMillis the worker's clock, if the answer told it
     */
    public void startAnswered(RunId run, IncarnationId incarnation, OrderOutcome answer, OptionalLong clockMillis) {
        if (answer == OrderOutcome.NO_TICKET) {
            advice.rejected(run.task().stepId(), incarnation);
        }
        changed = changed || answer.refused();
        workers.startAnswered(run, incarnation, answer, clockMillis, nowMillis);
    }

    /**
     * Takes the answer to a stop.
     *
     * @param run the run
     * @param incarnation the worker's life
     * @param answer the answer
     * @param clockMillis the worker's clock, if the answer told it
     */
    public void stopAnswered(RunId run, IncarnationId incarnation, OrderOutcome answer, OptionalLong clockMillis) {
        workers.stopAnswered(run, incarnation, answer, clockMillis, nowMillis);
    }

    /**
     * Takes the answer to a renewed lease.
     *
     * @param incarnation the worker's life
     * @param answer the answer
     * @param askedMillis when the renewal was sent, as monotonic time
     */
    public void holdAnswered(IncarnationId incarnation, LeaseRenewalResult answer, long askedMillis) {
        boolean wasListed = workers.link(incarnation).map(TrackedWorker::listed).orElse(false);
        workers.holdAnswered(incarnation, answer, askedMillis, nowMillis);
        changed = changed || !wasListed;
    }

    /**
     * Takes the answer of the advice service.
     *
     * @param ask the number of the call
     * @param answer the answer
     */
    public void advised(long ask, AdviceResult answer) {
        changed = advice.answered(ask, answer, nowMillis) || changed;
    }

    /**
     * Takes back a command that changed nothing when it was applied.
     *
     * @param command the command
     */
    public void refused(JobCommand command) {
        if (command.hasPlace()) {
            PlaceRuns place = command.getPlace();
            place.getPlacementsList()
                    .forEach(placement -> workers.refused(
                            new RunId(TaskId.of(placement.getTask()), placement.getRun()),
                            new IncarnationId(placement.getWorker(), placement.getBornMillis())));
            changed = true;
        }
        if (command.hasEnd()) {
            workers.link(new IncarnationId(
                            command.getEnd().getWorker(), command.getEnd().getBornMillis()))
                    .ifPresent(link -> link.proposed(link.entry().offset()));
        }
    }

    /**
     * Decides whether a job may be accepted.
     *
     * @param spec the job
     * @param queue the queue that it came in by
     * @return why it is refused, empty if it is accepted
     */
    public Optional<Refusal> admit(JobSpec spec, Queue queue) {
        long usableCpuMillis = workers.links().stream()
                .filter(link ->
                        link.expected() && link.entry().incarnation().getPool().equals(queue.getPool()))
                .mapToLong(link -> link.entry().capacity().cpuMillis())
                .sum();
        long objectiveMillis = JobPlan.objectiveMillis(spec, queue);
        long latestStartMillis = nowMillis + objectiveMillis - JobPlan.chainMillis(spec, queue);
        double ahead = plans.values().stream()
                .filter(plan -> goesBefore(plan, queue, latestStartMillis))
                .mapToDouble(plan -> waitingWork(plan.job()))
                .sum();
        return Admission.decide(spec, queue, ahead, usableCpuMillis);
    }

    private boolean goesBefore(JobPlan plan, Queue queue, long latestStartMillis) {
        boolean urgent = plan.job().queue().getPriority() == 0;
        if (urgent != (queue.getPriority() == 0)) {
            return urgent;
        }
        long latest = plan.dueMillis(0) - plan.chainMillis(0);
        return latest >= nowMillis && latest <= latestStartMillis;
    }

    private static double waitingWork(Job job) {
        return job.tasks()
                .filter(JobTask::awaitsPlacement)
                .mapToDouble(task -> {
                    var step = job.step(task.id().step());
                    return (double) step.getSize().getCpuMillis() * step.getEstimateMillis();
                })
                .sum();
    }

    /**
     * Says what is to be done now.
     *
     * @param wallMillis the current time of day, in milliseconds since 1970
     * @return the actions, in order
     */
    public List<DispatchAction> work(long wallMillis) {
        advice.tick(nowMillis);
        workers.tick(nowMillis);
        if (changed || nowMillis >= roundDueMillis) {
            changed = false;
            roundDueMillis = nowMillis + ROUND_MILLIS;
            new PlacementRound(workers, advice, this::add, nowMillis).run(ready(wallMillis));
        }
        if (nowMillis >= forgetDueMillis) {
            forgetDueMillis = nowMillis + FORGET_EVERY_MILLIS;
            forget(wallMillis);
        }
        List<DispatchAction> due = actions;
        actions = new ArrayList<>();
        return due;
    }

    private List<ReadyStep> ready(long wallMillis) {
        return plans.values().stream()
                .flatMap(plan -> plan.job().occurrences().stream()
                        .filter(occurrence -> wallMillis >= plan.job().dueMillis(occurrence))
                        .flatMap(occurrence -> ready(plan, occurrence)))
                .sorted(order.comparator())
                .toList();
    }

    private Stream<ReadyStep> ready(JobPlan plan, int occurrence) {
        Job job = plan.job();
        List<ReadyStep> steps = new ArrayList<>();
        for (int number = 0; number < job.spec().getStepsCount(); number++) {
            StepId id = new StepId(job.id(), occurrence, number);
            List<JobTask> waiting = job.tasks(occurrence, number).stream()
                    .filter(JobTask::awaitsPlacement)
                    .filter(task -> !workers.proposing(task.id()))
                    .toList();
            boolean whole = !job.step(number).getGang()
                    || waiting.size() == job.tasks(occurrence, number).size();
            if (!waiting.isEmpty() && whole && job.unblocked(occurrence, number)) {
                long latestStartMillis = plan.dueMillis(occurrence) - plan.chainMillis(number);
                Queue queue = table.queue(job.queue().getName()).orElse(job.queue());
                steps.add(new ReadyStep(job, queue, id, waiting, latestStartMillis, nowMillis > latestStartMillis));
            }
        }
        return steps.stream();
    }

    private void forget(long wallMillis) {
        long before = wallMillis - settings.statusMillis() - STATUS_MARGIN_MILLIS;
        List<String> old = table.jobs().stream()
                .filter(job -> !job.open() && job.endedMillis() < before)
                .filter(job -> job.tasks().allMatch(task -> task.incarnation().isEmpty()))
                .limit(FORGET_AT_ONCE)
                .map(Job::id)
                .toList();
        if (!old.isEmpty()) {
            add(new DispatchAction.Propose(JobCommand.newBuilder()
                    .setForget(ForgetJobs.newBuilder().addAllJobs(old))
                    .build()));
        }
    }

    @Override
    public void accepted(Job job) {
        plans.put(job.id(), new JobPlan(job, nowMillis));
        changed = true;
    }

    @Override
    public void placed(RunId run, IncarnationId incarnation) {
        workers.placed(run, incarnation, nowMillis);
    }

    @Override
    public void released(RunId run, IncarnationId incarnation) {
        workers.released(run, incarnation, nowMillis);
        changed = true;
    }

    @Override
    public void ended(Job job) {
        plans.remove(job.id());
        advice.forgetJob(job.id());
        workers.jobEnded(job, nowMillis);
        ended.accept(job);
        LOG.log(
                System.Logger.Level.INFO,
                "JOB ended job={0} queue={1} phase={2} tookMillis={3}",
                job.id(),
                job.queue().getName(),
                job.phase(),
                Long.toString(job.endedMillis() - job.acceptedMillis()));
    }

    @Override
    public void workerAnnounced(WorkerEntry worker) {
        workers.seen(worker, nowMillis);
        changed = true;
    }

    @Override
    public void workerEnded(IncarnationId incarnation) {
        workers.ended(incarnation);
        changed = true;
    }

    private void add(DispatchAction action) {
        actions.add(action);
    }
}
