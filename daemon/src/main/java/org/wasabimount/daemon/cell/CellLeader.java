package org.wasabimount.daemon.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.core.cell.WorkerLeases;
import org.wasabimount.core.cell.WorkerOrdersPlanner;
import org.wasabimount.core.placement.PlacementPlan;
import org.wasabimount.core.placement.PlacementPolicy;
import org.wasabimount.core.placement.Scheduler;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.protocol.cell.BindTasks;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellQuery;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.PreemptTasks;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.cell.ReportTasks;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerHeartbeat;

/** Executes the cell's operations while this replica leads: writes, queries, watches, worker leases and placement. */
public final class CellLeader {

    /** Longest time between two placement rounds, in milliseconds: a fraction of the time in which a task starts. */
    private static final long MAX_WORK_INTERVAL_MILLIS = 50;

    private static final int TASKS_PER_ROUND = 256;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final GroupThread group;
    private final CellStateMachine stateMachine;
    private final Clock clock;
    private final Clock wallClock;
    private final WorkerLeases leases = new WorkerLeases();
    private final Scheduler scheduler;
    private final List<PendingReply> pendingReplies = new ArrayList<>();
    private final List<CompletableFuture<Reply>> openProposals = new ArrayList<>();
    private long placedTasks;
    private long preemptedTasks;

    /** A reply that is deferred until the state it depends on has changed and its content meets a condition. */
    private static final class PendingReply {
        private final CompletableFuture<Reply> reply = new CompletableFuture<>();
        private final Supplier<Reply> currentReply;
        private final Predicate<Reply> completionCondition;
        private final LongSupplier changes;
        private final long deadlineMillis;
        private long lastSeenChanges;

        PendingReply(
                Supplier<Reply> currentReply,
                Predicate<Reply> completionCondition,
                LongSupplier changes,
                long deadlineMillis) {
            this.currentReply = currentReply;
            this.completionCondition = completionCondition;
            this.changes = changes;
            this.deadlineMillis = deadlineMillis;
            this.lastSeenChanges = changes.getAsLong();
        }

        /** Completes the reply if it meets the condition or its deadline has passed; returns whether it did. */
        boolean completeIfDue(long nowMillis) {
            boolean due = nowMillis >= deadlineMillis;
            boolean changed = changes.getAsLong() != lastSeenChanges;
            if (!due && !changed) {
                return false;
            }
            lastSeenChanges = changes.getAsLong();
            Reply current = currentReply.get();
            if (due || completionCondition.test(current)) {
                reply.complete(current);
                return true;
            }
            return false;
        }
    }

    /**
     * Creates the instance and registers it with the group's thread.
     *
     * @param group the cell's group
     * @param stateMachine the cell's state machine
     * @param clock the monotonic clock
     * @param wallClock the wall clock
     * @param seed the seed of the scheduler's random choices
     */
    public CellLeader(GroupThread group, CellStateMachine stateMachine, Clock clock, Clock wallClock, long seed) {
        this.group = group;
        this.stateMachine = stateMachine;
        this.clock = clock;
        this.wallClock = wallClock;
        this.scheduler = new Scheduler(PlacementPolicy.SPREAD_AND_PACK, seed);
        group.afterEachFlush(this::work, MAX_WORK_INTERVAL_MILLIS);
    }

    /**
     * Executes a write. Called on the group's thread.
     *
     * @param command the write; its time is set by this method
     * @return completed once the write is applied
     */
    public CompletableFuture<Reply> write(CellCommand command) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        return propose(command.toBuilder());
    }

    /**
     * Executes a query; a watch waits until there is a change or its waiting time ends. Called on the group's thread.
     *
     * @param query the query
     * @return completed with the reply
     */
    public CompletableFuture<Reply> query(CellQuery query) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        Reply immediateReply = currentReply(query);
        boolean shouldWait = query.hasWatch() && query.getWatch().getWaitMillis() > 0 && !hasChange(immediateReply);
        if (!shouldWait) {
            return CompletableFuture.completedFuture(immediateReply);
        }
        return deferReply(
                () -> currentReply(query),
                CellLeader::hasChange,
                () -> state().revision(),
                query.getWatch().getWaitMillis());
    }

    /**
     * Handles a worker's heartbeat. Called on the group's thread.
     *
     * @param heartbeat the heartbeat
     * @return completed with the worker's lease and orders
     */
    public CompletableFuture<Reply> heartbeat(WorkerHeartbeat heartbeat) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        if (state().isFromEarlierIncarnation(heartbeat.getWorker())) {
            return CompletableFuture.completedFuture(Reply.newBuilder()
                    .setResultCode(ResultCode.VERSION_CONFLICT.number())
                    .setDetail("a later incarnation of the worker is registered")
                    .build());
        }
        leases.resetIfNewTerm(group.replica().leaderSinceMillis());
        leases.grant(heartbeat.getWorker().getWorker(), leaseMillis(), clock.millis());
        if (state().needsRegistration(heartbeat.getWorker())) {
            propose(CellCommand.newBuilder()
                    .setRegisterWorker(RegisterWorker.newBuilder().setWorker(heartbeat.getWorker())));
            return CompletableFuture.completedFuture(orders(heartbeat));
        }
        List<TaskReport> newReports = WorkerOrdersPlanner.newReports(state(), heartbeat);
        if (!newReports.isEmpty()) {
            propose(CellCommand.newBuilder()
                    .setReportTasks(ReportTasks.newBuilder().addAllReports(newReports)));
        }
        Reply immediateReply = orders(heartbeat);
        if (hasOrders(immediateReply) || !newReports.isEmpty() || heartbeat.getWaitMillis() == 0) {
            return CompletableFuture.completedFuture(immediateReply);
        }
        String worker = heartbeat.getWorker().getWorker();
        return deferReply(
                () -> orders(heartbeat),
                CellLeader::hasOrders,
                () -> state().worker(worker).map(Worker::changes).orElse(0L),
                heartbeat.getWaitMillis());
    }

    /**
     * Returns how many tasks this node has placed as the leader.
     *
     * @return the count since the node started
     */
    public long placedTasks() {
        return placedTasks;
    }

    /**
     * Returns how many tasks this node has preempted for urgent work as the leader.
     *
     * @return the count since the node started
     */
    public long preemptedTasks() {
        return preemptedTasks;
    }

    private void work() {
        if (!mayDecide()) {
            failPendingReplies();
            return;
        }
        leases.resetIfNewTerm(group.replica().leaderSinceMillis());
        loseExpiredWorkers();
        place();
        pendingReplies.removeIf(pending -> pending.completeIfDue(clock.millis()));
    }

    private void loseExpiredWorkers() {
        for (Worker worker : leases.expiredWorkers(state(), leaseMillis(), clock.millis())) {
            propose(CellCommand.newBuilder()
                    .setLoseWorker(LoseWorker.newBuilder()
                            .setWorker(worker.id().name())
                            .setIncarnation(worker.incarnation())));
        }
    }

    private void place() {
        openProposals.removeIf(CompletableFuture::isDone);
        if (!openProposals.isEmpty()) {
            return;
        }
        PlacementPlan plan = scheduler.plan(state(), wallClock.millis(), TASKS_PER_ROUND);
        for (BindTasks binding : plan.bindings()) {
            placedTasks += binding.getBindingsCount();
            openProposals.add(propose(CellCommand.newBuilder().setBindTasks(binding)));
        }
        for (PreemptTasks preempt : plan.preemptions()) {
            preemptedTasks += preempt.getTasksCount();
            openProposals.add(propose(CellCommand.newBuilder().setPreemptTasks(preempt)));
        }
    }

    private CompletableFuture<Reply> deferReply(
            Supplier<Reply> currentReply, Predicate<Reply> completionCondition, LongSupplier changes, long waitMillis) {
        long deadlineMillis = clock.millis() + Math.min(waitMillis, MAX_WAIT_MILLIS);
        PendingReply pending = new PendingReply(currentReply, completionCondition, changes, deadlineMillis);
        pendingReplies.add(pending);
        return pending.reply;
    }

    private void failPendingReplies() {
        pendingReplies.forEach(pending -> pending.reply.complete(group.notLeader()));
        pendingReplies.clear();
    }

    private Reply orders(WorkerHeartbeat heartbeat) {
        return Reply.newBuilder()
                .setOrders(WorkerOrdersPlanner.plan(state(), heartbeat, leaseMillis()))
                .build();
    }

    private static boolean hasChange(Reply reply) {
        return reply.getResultCode() != ResultCode.OK.number()
                || reply.getResources().getResourcesCount() > 0;
    }

    private static boolean hasOrders(Reply reply) {
        return reply.getOrders().getStartCount() + reply.getOrders().getStopCount() > 0;
    }

    private Reply currentReply(CellQuery query) {
        Reply reply = state().query(query);
        if (!query.hasGet() || !reply.hasResource()) {
            return reply;
        }
        return state().find(query.getGet())
                .flatMap(resource -> scheduler.explain(state(), resource, wallClock.millis()))
                .map(reason -> reply.toBuilder()
                        .setResource(reply.getResource().toBuilder().setReason(reason))
                        .build())
                .orElse(reply);
    }

    private CompletableFuture<Reply> propose(CellCommand.Builder command) {
        return group.propose(command.setTimeMillis(wallClock.millis()).build().toByteString());
    }

    private boolean mayDecide() {
        return group.replica().mayDecide(clock.millis());
    }

    private long leaseMillis() {
        return ConfigurationKey.WORKER_LEASE.read(state().configuration().getValuesMap());
    }

    private CellState state() {
        return stateMachine.state();
    }
}
