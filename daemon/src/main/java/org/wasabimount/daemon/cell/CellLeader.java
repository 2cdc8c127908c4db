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

/** What the cell's leader does besides ordering writes: leases, placement, workers' orders and watches. */
public final class CellLeader {

    private static final int TASKS_PER_ROUND = 256;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final GroupThread group;
    private final CellStateMachine machine;
    private final Clock clock;
    private final Clock wallClock;
    private final WorkerLeases leases = new WorkerLeases();
    private final Scheduler scheduler;
    private final List<Parked> parked = new ArrayList<>();
    private final List<CompletableFuture<Reply>> openBindings = new ArrayList<>();
    private long placedTasks;
    private long preemptedTasks;

    /** A reply that is held back until what it depends on changes and there is something to say. */
    private static final class Parked {
        private final CompletableFuture<Reply> reply = new CompletableFuture<>();
        private final Supplier<Reply> answer;
        private final Predicate<Reply> worthwhile;
        private final LongSupplier changes;
        private final long untilMillis;
        private long seenChanges;

        Parked(Supplier<Reply> answer, Predicate<Reply> worthwhile, LongSupplier changes, long untilMillis) {
            this.answer = answer;
            this.worthwhile = worthwhile;
            this.changes = changes;
            this.untilMillis = untilMillis;
            this.seenChanges = changes.getAsLong();
        }

        /** Completes the reply if it is worth it or its time is up; returns whether it did. */
        boolean settle(long nowMillis) {
            boolean due = nowMillis >= untilMillis;
            boolean changed = changes.getAsLong() != seenChanges;
            if (!due && !changed) {
                return false;
            }
            seenChanges = changes.getAsLong();
            Reply current = answer.get();
            if (due || worthwhile.test(current)) {
                reply.complete(current);
                return true;
            }
            return false;
        }
    }

    /**
     * Creates the duties and hangs them on the group's thread.
     *
     * @param group the cell's group
     * @param machine the cell's state machine
     * @param clock monotonic time
     * @param wallClock time of day
     * @param seed seed of random choices
     */
    public CellLeader(GroupThread group, CellStateMachine machine, Clock clock, Clock wallClock, long seed) {
        this.group = group;
        this.machine = machine;
        this.clock = clock;
        this.wallClock = wallClock;
        this.scheduler = new Scheduler(PlacementPolicy.SPREAD_AND_PACK, seed);
        group.afterEachFlush(this::work);
    }

    /**
     * Carries out a write. Called on the group's thread.
     *
     * @param command the write; its time is filled in
     * @return completed once the write is applied
     */
    public CompletableFuture<Reply> write(CellCommand command) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        return propose(command.toBuilder());
    }

    /**
     * Answers a query; a watch waits until there is a change or its time is up. Called on the group's thread.
     *
     * @param query the query
     * @return completed with the answer
     */
    public CompletableFuture<Reply> query(CellQuery query) {
        if (!mayDecide()) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        Reply now = answer(query);
        boolean wait = query.hasWatch() && query.getWatch().getWaitMillis() > 0 && !tellsChange(now);
        if (!wait) {
            return CompletableFuture.completedFuture(now);
        }
        return park(
                () -> answer(query),
                CellLeader::tellsChange,
                () -> state().revision(),
                query.getWatch().getWaitMillis());
    }

    /**
     * Takes a worker's heartbeat. Called on the group's thread.
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
                    .setDetail("the worker has begun another life since")
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
        Reply now = orders(heartbeat);
        if (hasOrders(now) || !newReports.isEmpty() || heartbeat.getWaitMillis() == 0) {
            return CompletableFuture.completedFuture(now);
        }
        String worker = heartbeat.getWorker().getWorker();
        return park(
                () -> orders(heartbeat),
                CellLeader::hasOrders,
                () -> state().worker(worker).map(Worker::changes).orElse(0L),
                heartbeat.getWaitMillis());
    }

    /**
     * Returns how many tasks this leader has placed.
     *
     * @return the count since the start
     */
    public long placedTasks() {
        return placedTasks;
    }

    /**
     * Returns how many tasks this leader has stopped for urgent work.
     *
     * @return the count since the start
     */
    public long preemptedTasks() {
        return preemptedTasks;
    }

    private void work() {
        if (!mayDecide()) {
            releaseParked();
            return;
        }
        leases.resetIfNewTerm(group.replica().leaderSinceMillis());
        loseLapsedWorkers();
        place();
        parked.removeIf(waiting -> waiting.settle(clock.millis()));
    }

    private void loseLapsedWorkers() {
        for (Worker worker : leases.expiredWorkers(state(), leaseMillis(), clock.millis())) {
            propose(CellCommand.newBuilder()
                    .setLoseWorker(LoseWorker.newBuilder()
                            .setWorker(worker.id().name())
                            .setIncarnation(worker.incarnation())));
        }
    }

    private void place() {
        openBindings.removeIf(CompletableFuture::isDone);
        if (!openBindings.isEmpty()) {
            return;
        }
        PlacementPlan plan = scheduler.plan(state(), wallClock.millis(), TASKS_PER_ROUND);
        for (BindTasks binding : plan.bindings()) {
            placedTasks += binding.getBindingsCount();
            openBindings.add(propose(CellCommand.newBuilder().setBindTasks(binding)));
        }
        for (PreemptTasks preempt : plan.preemptions()) {
            preemptedTasks += preempt.getTasksCount();
            openBindings.add(propose(CellCommand.newBuilder().setPreemptTasks(preempt)));
        }
    }

    private CompletableFuture<Reply> park(
            Supplier<Reply> answer, Predicate<Reply> worthwhile, LongSupplier changes, long waitMillis) {
        long untilMillis = clock.millis() + Math.min(waitMillis, MAX_WAIT_MILLIS);
        Parked waiting = new Parked(answer, worthwhile, changes, untilMillis);
        parked.add(waiting);
        return waiting.reply;
    }

    private void releaseParked() {
        parked.forEach(waiting -> waiting.reply.complete(group.notLeader()));
        parked.clear();
    }

    private Reply orders(WorkerHeartbeat heartbeat) {
        return Reply.newBuilder()
                .setOrders(WorkerOrdersPlanner.plan(state(), heartbeat, leaseMillis()))
                .build();
    }

    private static boolean tellsChange(Reply reply) {
        return reply.getResultCode() != ResultCode.OK.number()
                || reply.getResources().getResourcesCount() > 0;
    }

    private static boolean hasOrders(Reply reply) {
        return reply.getOrders().getStartCount() + reply.getOrders().getStopCount() > 0;
    }

    private Reply answer(CellQuery query) {
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
        return machine.state();
    }
}
