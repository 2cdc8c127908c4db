package org.wasabimount.daemon.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.SuspensionWatch;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.DispatchSettings;
import org.wasabimount.core.dispatch.Dispatcher;
import org.wasabimount.core.dispatch.LeaseRenewalResult;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.core.dispatch.SchedulingOrder;
import org.wasabimount.core.dispatch.StepFailure;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobCheck;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.core.job.QueueCheck;
import org.wasabimount.core.log.Replica;
import org.wasabimount.core.quota.QuotaCheck;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.daemon.metrics.NodeMetrics;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.AcceptJob;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.CancelJob;
import org.wasabimount.protocol.job.JobAnswer;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobQuery;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueAddress;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.Submit;

import com.google.protobuf.ByteString;

import io.vavr.control.Either;

/** Executes operations and drives the dispatcher while this replica leads the jobs' group. */
public final class JobLeader {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    /** Longest time between two calls of the dispatcher, in milliseconds: half of the interval of its rounds. */
    private static final long MAX_WORK_INTERVAL_MILLIS = 20;

    /** Time before a dispatcher that has failed starts again, in milliseconds; a few rounds of calls to workers. */
    private static final long RESTART_DELAY_MILLIS = 500;

    /** Maximum number of workers that are being asked to confirm their announcement; bounds what false ones cost. */
    private static final int MAX_OPEN_CONFIRMATIONS = 128;

    /** Time after which a worker that was not asked announces itself again, in milliseconds: one announcement interval. */
    private static final long CONFIRMATION_RETRY_MILLIS = 1_500;

    private final GroupThread group;
    private final JobStateMachine stateMachine;
    private final DispatchSettings settings;
    private final WorkerCalls workers;
    private final Consumer<DispatchAction.RequestAdvice> advice;
    private final Supplier<Collection<String>> adviceCallers;
    private final NodeMetrics metrics;
    private final Clock clock;
    private final Clock wallClock;
    private final Map<String, PendingAccept> pendingAccepts = new HashMap<>();
    private final CallerCheck callers = new CallerCheck(this::table);
    private final ConcurrentLinkedQueue<Runnable> deferredEvents = new ConcurrentLinkedQueue<>();
    private final SuspensionWatch suspensionWatch;
    private final DispatchMonitor monitor;
    private final JobExplainer explainer;
    private final Set<String> excludedJobs = new HashSet<>();
    private Dispatcher dispatcher;
    private int openProposals;
    private int openConfirmations;
    private long restartMillis = Long.MIN_VALUE;
    private long term;

    private record PendingAccept(CallerCheck.Caller caller, CompletableFuture<Reply> reply) {}

    /**
     * Creates the instance and registers it with the group's thread, on which all other methods are called.
     *
     * @param group the thread of the group
     * @param stateMachine the group's state machine
     * @param settings the dispatcher's parameters
     * @param dependencies the services of the node that the group uses
     */
    JobLeader(
            GroupThread group,
            JobStateMachine stateMachine,
            DispatchSettings settings,
            JobGroup.Dependencies dependencies) {
        this.group = group;
        this.stateMachine = stateMachine;
        this.settings = settings;
        this.workers = dependencies.workers();
        this.advice = dependencies.advice();
        this.adviceCallers = dependencies.adviceCallers();
        this.metrics = dependencies.metrics();
        this.clock = dependencies.clock();
        this.wallClock = dependencies.wallClock();
        this.suspensionWatch = new SuspensionWatch(clock, wallClock);
        this.monitor = new DispatchMonitor(metrics, clock);
        this.explainer = new JobExplainer(this::table, clock, wallClock);
        group.afterEachFlush(this::work, MAX_WORK_INTERVAL_MILLIS);
    }

    /**
     * Executes an operation if this replica leads.
     *
     * @param operation the operation
     * @return the reply, with {@link ResultCode#NOT_LEADER} if the operation must be sent to another replica
     */
    public CompletableFuture<Reply> execute(JobOperation operation) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        if (!beginOrContinueTerm()) {
            return refuse(new Refusal(ResultCode.NOT_READY, "the dispatcher starts again", RESTART_DELAY_MILLIS));
        }
        return switch (operation.getBodyCase()) {
            case SUBMIT -> submit(operation, operation.getSubmit());
            case STATE -> CompletableFuture.completedFuture(state(operation.getState(), operation.getSecretHash()));
            case CANCEL -> cancel(operation, operation.getCancel());
            case COUNT_WAITING ->
                CompletableFuture.completedFuture(countWaiting(operation.getCountWaiting(), operation.getSecretHash()));
            case PUT_QUEUES -> putQueues(operation.getPutQueues());
            case READ_QUEUES -> CompletableFuture.completedFuture(readQueues());
            case ANNOUNCE -> announce(operation.getAnnounce());
            case LEAVE -> {
                dispatcher.workerLeft(operation.getLeave().getWorker());
                yield CompletableFuture.completedFuture(Reply.getDefaultInstance());
            }
            case EXPLAIN ->
                CompletableFuture.completedFuture(explainer
                        .explain(operation.getRequest(), operation.getExplain(), dispatcher)
                        .fold(
                                JobLeader::reply,
                                explanation -> response(JobAnswer.newBuilder().setExplanation(explanation))));
            case BODY_NOT_SET -> refuse(Refusal.of(ResultCode.UNKNOWN_KIND, "the kind of operation is unknown"));
        };
    }

    /**
     * Receives the result of an advice call.
     *
     * @param callId the number of the call
     * @param response the result
     */
    public void advised(long callId, AdviceResult response) {
        Dispatcher current = dispatcher;
        if (current != null) {
            runInTerm(current, () -> current.advised(callId, response));
        }
    }

    private CompletableFuture<Reply> submit(JobOperation operation, Submit submit) {
        Either<Refusal, CallerCheck.Caller> caller = callers.callerAt(submit.getAt(), operation.getSecretHash());
        return caller.isLeft() ? refuse(caller.getLeft()) : submit(operation.getRequest(), submit, caller.get());
    }

    private CompletableFuture<Reply> submit(String request, Submit submit, CallerCheck.Caller caller) {
        JobSpec spec = submit.getSpec();
        Optional<Job> existing = table().job(spec.getId());
        PendingAccept pending = pendingAccepts.get(spec.getId());
        boolean sameJob = existing.map(job -> CallerCheck.submittedAt(job, submit.getAt()) && caller.mayAccess(job))
                .orElse(pending == null || pending.caller().sameAs(caller));
        if (!sameJob) {
            return refuse(Refusal.of(ResultCode.KEY_REUSED, "another job has the id " + spec.getId()));
        }
        if (existing.isPresent()) {
            return CompletableFuture.completedFuture(Reply.getDefaultInstance());
        }
        if (pending != null) {
            return pending.reply();
        }
        Queue queue = caller.queue();
        Optional<Refusal> refusal = JobCheck.check(spec)
                .or(() -> table().organisations()
                        .account(caller.organisation())
                        .flatMap(account -> QuotaCheck.check(spec, account)))
                .or(() -> dispatcher.admit(spec, queue, caller.organisation()));
        LOG.log(
                System.Logger.Level.INFO,
                "SUBMIT request={0} job={1} queue={2} organisation={3} version={4} outcome={5}",
                request,
                spec.getId(),
                queue.getName(),
                caller.organisation(),
                Long.toString(table().queues().getVersion()),
                refusal.map(reason -> reason.code() + " (" + reason.detail() + ")")
                        .orElse("accepted"));
        if (refusal.isPresent()) {
            return refuse(refusal.get());
        }
        JobSpec specWithQueue = spec.toBuilder().setQueue(queue.getName()).build();
        CompletableFuture<Reply> reply = propose(JobCommand.newBuilder()
                .setAccept(AcceptJob.newBuilder()
                        .setSpec(specWithQueue)
                        .setQueue(queue)
                        .setOrganisation(caller.organisation()))
                .build());
        pendingAccepts.put(spec.getId(), new PendingAccept(caller, reply));
        reply.whenComplete((done, failure) -> pendingAccepts.remove(spec.getId()));
        return reply;
    }

    private Reply state(JobQuery query, ByteString secretHash) {
        return callers.callerFor(query, secretHash)
                .fold(
                        JobLeader::reply,
                        caller -> callers.job(query, caller)
                                .map(job -> response(
                                        JobAnswer.newBuilder().setPhase(waits(job) ? JobPhase.QUEUED : job.phase())))
                                .orElseGet(() -> reply(noJob(query))));
    }

    private CompletableFuture<Reply> cancel(JobOperation operation, JobQuery query) {
        Either<Refusal, CallerCheck.Caller> caller = callers.callerFor(query, operation.getSecretHash());
        if (caller.isLeft()) {
            return refuse(caller.getLeft());
        }
        Optional<Job> job = callers.job(query, caller.get());
        String organisation = job.map(Job::organisation).orElse(caller.get().organisation());
        LOG.log(
                System.Logger.Level.INFO,
                "CANCEL request={0} job={1} organisation={2} phase={3}",
                operation.getRequest(),
                query.getJob(),
                organisation,
                job.map(Job::phase).map(JobPhase::name).orElse("unknown"));
        boolean recorded = table().job(query.getJob()).isPresent()
                || table().cancelledEarly(query.getJob(), organisation, wallClock.millis());
        if (job.isEmpty() && (recorded || !JobCheck.validId(query.getJob()))) {
            return refuse(noJob(query));
        }
        // Also recorded for a job that is not known: its submission may arrive later, through a node that was
        // suspended.
        CompletableFuture<Reply> cancellation = propose(JobCommand.newBuilder()
                .setCancel(CancelJob.newBuilder()
                        .setJob(query.getJob())
                        .setOrganisation(organisation)
                        .setOfOrganisation(true))
                .build());
        return cancellation.thenApply(
                reply -> reply.getResultCode() == ResultCode.NOT_FOUND.number() ? reply(noJob(query)) : reply);
    }

    private Reply countWaiting(QueueAddress at, ByteString secretHash) {
        return callers.callerAt(at, secretHash).fold(JobLeader::reply, caller -> {
            long waiting = table().jobs().stream()
                    .filter(job -> waits(job)
                            && job.queue().getName().equals(caller.queue().getName()))
                    .count();
            return response(JobAnswer.newBuilder().setWaiting(waiting));
        });
    }

    /** Returns whether no task of an open job has begun; its tasks may be placed. */
    private boolean waits(Job job) {
        return job.open() && !dispatcher.begun(job);
    }

    private CompletableFuture<Reply> putQueues(QueueTable next) {
        Optional<Refusal> refusal = QueueCheck.check(next);
        LOG.log(
                System.Logger.Level.INFO,
                "QUEUES put version={0} held={1} queues={2} organisations={3} outcome={4}",
                Long.toString(next.getVersion()),
                Long.toString(table().queues().getVersion()),
                next.getQueuesCount(),
                next.getOrganisationsCount(),
                refusal.map(Refusal::detail).orElse("accepted"));
        if (refusal.isPresent()) {
            return refuse(refusal.get());
        }
        if (next.getVersion() <= table().queues().getVersion()) {
            return CompletableFuture.completedFuture(Reply.getDefaultInstance());
        }
        return propose(JobCommand.newBuilder().setPutQueues(next).build());
    }

    private Reply readQueues() {
        if (table().queues().getVersion() == 0) {
            return reply(new Refusal(ResultCode.NOT_READY, "no queues were put yet", 0));
        }
        return response(JobAnswer.newBuilder().setDocument(table().queues().getDocument()));
    }

    private CompletableFuture<Reply> announce(Announce announcement) {
        Optional<DispatchAction.RenewLease> call = dispatcher.confirmationCall(announcement);
        if (call.isEmpty()) {
            return record(dispatcher.announcementReceived(announcement));
        }
        if (openConfirmations >= MAX_OPEN_CONFIRMATIONS) {
            return refuse(new Refusal(
                    ResultCode.QUEUE_FULL, "too many new workers announce themselves", CONFIRMATION_RETRY_MILLIS));
        }
        openConfirmations++;
        Dispatcher current = dispatcher;
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        renewLease(call.get()).thenAccept(result -> {
            metrics.orderCompleted("confirm", result.outcome());
            submitOrDefer(() -> announcementAnswered(current, announcement, result, reply));
        });
        return reply;
    }

    private void announcementAnswered(
            Dispatcher current, Announce announcement, LeaseRenewalResult result, CompletableFuture<Reply> reply) {
        openConfirmations--;
        if (dispatcher != current) {
            reply.complete(group.notLeader());
            return;
        }
        try {
            dispatcher.at(clock.millis());
            record(dispatcher.announcementAnswered(announcement, result)).thenAccept(reply::complete);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "JOB announcement of " + announcement.getLife().getWorker() + " failed",
                    e);
            reply.complete(reply(Refusal.of(ResultCode.INTERNAL, "the operation failed unexpectedly")));
        }
    }

    private CompletableFuture<Reply> record(Optional<JobCommand> recordCommand) {
        if (recordCommand.isEmpty()) {
            return CompletableFuture.completedFuture(Reply.getDefaultInstance());
        }
        // Acknowledged only once it is committed, so that the next leader knows it too: a worker that is about to
        // leave may not announce it again.
        return propose(recordCommand.get()).thenApply(reply -> {
            boolean unconfirmed = reply.getResultCode() == ResultCode.COMMIT_UNKNOWN.number()
                    || reply.getResultCode() == ResultCode.NOT_LEADER.number();
            return unconfirmed ? reply : Reply.getDefaultInstance();
        });
    }

    private void work() {
        runDeferredEvents();
        boolean leads = group.replica().role() == Replica.Role.LEADER;
        if (dispatcher != null && (!leads || group.replica().term() != term)) {
            resign();
        }
        if (!mayDecide()) {
            return;
        }
        try {
            if (beginOrContinueTerm()) {
                dispatcher.callers(adviceCallers.get());
                dispatcher.work(wallClock.millis()).forEach(this::carryOut);
            }
        } catch (RuntimeException e) {
            restartLater(e);
        }
        table().takeObserverFailure().ifPresent(this::restartLater);
    }

    /**
     * Ends the dispatcher after an unexpected error; another one takes over from the table, as in a new term. An error that
     * ended the process would end the next leader, too.
     */
    private void restartLater(RuntimeException error) {
        LOG.log(System.Logger.Level.ERROR, "DISPATCH failed, it starts again from the state", error);
        if (error instanceof StepFailure failure) {
            LOG.log(System.Logger.Level.ERROR, "DISPATCH goes on without job={0}", failure.job());
            excludedJobs.add(failure.job());
        }
        metrics.dispatcherFailed();
        dispatcher = null;
        restartMillis = clock.millis() + RESTART_DELAY_MILLIS;
        table().setObserver(new JobTable.Observer() {});
    }

    /**
     * Creates the dispatcher at the beginning of a term, and sets the dispatcher's time.
     *
     * @return false if the dispatcher has failed and does not start again yet
     */
    private boolean beginOrContinueTerm() {
        if (dispatcher == null) {
            // Placements that the failed dispatcher has proposed must be in the table from which the next one starts.
            if (clock.millis() < restartMillis || openProposals > 0) {
                return false;
            }
            term = group.replica().term();
            dispatcher = new Dispatcher(
                    settings,
                    table(),
                    SchedulingOrder.LATEST_START,
                    term,
                    excludedJobs,
                    clock.millis(),
                    wallClock.millis());
            dispatcher.setJobEndListener(
                    job -> metrics.jobEnded(job.phase(), job.endedMillis() - job.acceptedMillis()));
            dispatcher.setWorkerEndListener(metrics::workerEnded);
            dispatcher.setAdviceCallListener(monitor::adviceCallCompleted);
            dispatcher.setStatusListener(monitor::statusSampled);
            dispatcher.setReservationListener(metrics::reservationEnded);
            dispatcher.setGangWithheldListener(metrics::gangWithheld);
            dispatcher.setInterferenceListener(metrics::interferenceDecided);
            LOG.log(
                    System.Logger.Level.INFO,
                    "LEAD term={0} jobs={1} workers={2}",
                    Long.toString(term),
                    table().jobs().size(),
                    table().workers().size());
        }
        dispatcher.at(clock.millis());
        return true;
    }

    private void resign() {
        LOG.log(System.Logger.Level.INFO, "RESIGN term={0}", Long.toString(term));
        dispatcher = null;
        pendingAccepts.clear();
        excludedJobs.clear();
        openProposals = 0;
        restartMillis = Long.MIN_VALUE;
        monitor.resigned();
        table().setObserver(new JobTable.Observer() {});
    }

    private void carryOut(DispatchAction action) {
        Dispatcher current = dispatcher;
        if (action instanceof DispatchAction.Propose propose) {
            propose(propose.command()).thenAccept(reply -> {
                if (reply.getResultCode() != ResultCode.OK.number()) {
                    submitInTerm(current, () -> current.refused(propose.command()));
                }
            });
        } else if (action instanceof DispatchAction.RequestAdvice adviceCall) {
            advice.accept(adviceCall);
        } else if (action instanceof DispatchAction.Start start) {
            IncarnationId incarnation = start.worker().id();
            sendOrder("start", () -> workers.start(start))
                    .thenAccept(result -> submitInTerm(
                            current,
                            () -> current.startCompleted(
                                    start.run(), incarnation, result.orderOutcome(), result.clockMillis())));
        } else if (action instanceof DispatchAction.Stop stop) {
            IncarnationId incarnation = stop.worker().id();
            sendOrder("stop", () -> workers.stop(stop))
                    .thenAccept(result -> submitInTerm(
                            current,
                            () -> current.stopCompleted(
                                    stop.run(), incarnation, result.orderOutcome(), result.clockMillis())));
        } else if (action instanceof DispatchAction.Pace pace) {
            sendOrder("pace", () -> workers.pace(pace))
                    .thenAccept(result -> submitInTerm(
                            current, () -> current.paceCompleted(pace, result.orderOutcome(), result.clockMillis())));
        } else if (action instanceof DispatchAction.RenewLease renewal) {
            long requestedMillis = clock.millis();
            // A lease renewed by a deposed leader would last beyond the time that its successor waits for.
            CompletableFuture<LeaseRenewalResult> renewalResult = mayDecide()
                    ? renewLease(renewal)
                    : CompletableFuture.completedFuture(LeaseRenewalResult.withoutList(OrderOutcome.NOT_SENT));
            renewalResult.thenAccept(response -> {
                metrics.orderCompleted("hold", response.outcome());
                submitInTerm(
                        current,
                        () -> current.leaseRenewalCompleted(renewal.worker().id(), response, requestedMillis));
            });
        }
    }

    /** Calls a worker; a response that can't be handled counts as none, as the worker would never be called again. */
    private CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease renewal) {
        return workers.renewLease(renewal).exceptionally(e -> {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "WORKER response failed worker=" + renewal.worker().id(),
                    e);
            return LeaseRenewalResult.withoutList(OrderOutcome.NO_ANSWER);
        });
    }

    /** Sends an order if the leader's lease is still valid: this thread may have been suspended since the decision. */
    private CompletableFuture<OrderResult> sendOrder(String kind, Supplier<CompletableFuture<OrderResult>> order) {
        CompletableFuture<OrderResult> result =
                mayDecide() ? order.get() : CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.NOT_SENT));
        return result.whenComplete((done, failure) -> {
            if (done != null) {
                metrics.orderCompleted(kind, done.orderOutcome());
            }
        });
    }

    /**
     * Runs an event on the group's thread, unless a new term has begun in the meantime. An event that meets a full ring
     * runs after the next batch: a response that is lost would leave its order open for the rest of the term.
     */
    private void submitInTerm(Dispatcher current, Runnable event) {
        submitOrDefer(() -> runInTerm(current, event));
    }

    private void submitOrDefer(Runnable event) {
        if (!group.submit(event)) {
            deferredEvents.add(event);
        }
    }

    private void runInTerm(Dispatcher current, Runnable event) {
        if (dispatcher != current) {
            return;
        }
        try {
            dispatcher.at(clock.millis());
            event.run();
        } catch (RuntimeException e) {
            restartLater(e);
        }
    }

    private void runDeferredEvents() {
        int count = 0;
        for (Runnable event = deferredEvents.poll(); event != null; event = deferredEvents.poll()) {
            event.run();
            count++;
        }
        if (count > 0) {
            LOG.log(System.Logger.Level.WARNING, "JOB ring was full, {0} responses were handled late", count);
        }
    }

    private CompletableFuture<Reply> propose(JobCommand command) {
        long proposedMillis = clock.millis();
        long proposedTerm = term;
        openProposals++;
        CompletableFuture<Reply> reply = group.propose(
                command.toBuilder().setTimeMillis(wallClock.millis()).build().toByteString());
        return reply.whenComplete((done, failure) -> {
            openProposals -= proposedTerm == term && openProposals > 0 ? 1 : 0;
            metrics.commandCommitted(clock.millis() - proposedMillis);
        });
    }

    private boolean mayDecide() {
        if (suspensionWatch.wasSuspended()) {
            LOG.log(System.Logger.Level.INFO, "LEAD host was suspended, the leader must renew its lease");
            group.replica().hostWasSuspended(clock.millis());
            if (dispatcher != null) {
                dispatcher.at(clock.millis());
                dispatcher.hostWasSuspended();
            }
        }
        return group.replica().mayDecide(clock.millis());
    }

    private JobTable table() {
        return stateMachine.table();
    }

    private static Refusal noJob(JobQuery query) {
        return Refusal.of(ResultCode.NOT_FOUND, "there is no job " + query.getJob());
    }

    private static CompletableFuture<Reply> refuse(Refusal refusal) {
        return CompletableFuture.completedFuture(reply(refusal));
    }

    private static Reply reply(Refusal refusal) {
        return Reply.newBuilder()
                .setResultCode(refusal.code().number())
                .setDetail(refusal.detail())
                .setRetryAfterMillis(refusal.retryAfterMillis())
                .build();
    }

    private static Reply response(JobAnswer.Builder response) {
        return Reply.newBuilder().setJob(response).build();
    }
}
