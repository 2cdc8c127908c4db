package org.wasabimount.core.cell;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.wasabimount.core.placement.PlacementPlan;
import org.wasabimount.core.placement.PlacementPolicy;
import org.wasabimount.core.placement.Scheduler;
import org.wasabimount.core.worker.WorkerAgent;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.DeleteResource;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PartitionPolicy;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.ReportTasks;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerHeartbeat;
import org.wasabimount.protocol.cell.WorkerOrders;
import org.wasabimount.protocol.cell.WorkerState;

/** A cell's leader and its workers in virtual time; the tasks that really run are checked after every step. */
final class FakeCell {

    static final Capacity WORKER_SIZE = new Capacity(4_000, 8_000, 1);
    static final Capacity QUOTA = new Capacity(14_000, 30_000, 3);
    private static final long LEASE_MILLIS = 2_000;
    private static final int SETTLE_ROUNDS = 900;

    private final List<FakeWorker> workers = new ArrayList<>();
    private CellState state = new CellState();
    private WorkerLeases leases = new WorkerLeases();
    private Scheduler scheduler = new Scheduler(PlacementPolicy.SPREAD_AND_PACK, 1);
    private long nowMillis = 10_000;
    private int incarnations;

    /** A worker with its heartbeats and responses that are in flight. */
    private final class FakeWorker {
        private final String name;
        private WorkerAgent agent;
        private boolean suspended;
        private final List<WorkerHeartbeat> heartbeatsInFlight = new ArrayList<>();
        private final Map<Long, WorkerOrders> ordersInFlight = new HashMap<>();
        private final Map<WorkerHeartbeat, Long> sequenceByHeartbeat = new HashMap<>();

        FakeWorker(String name) {
            this.name = name;
            restart();
        }

        void restart() {
            incarnations++;
            agent = new WorkerAgent(WorkerState.newBuilder()
                    .setWorker(name)
                    .setIncarnation(incarnations)
                    .setDomain("domain-" + name.charAt(name.length() - 1) % 3)
                    .setRack("rack-" + name)
                    .setSize(WORKER_SIZE.toQuantity())
                    .build());
            ordersInFlight.clear();
            sequenceByHeartbeat.clear();
            suspended = false;
        }
    }

    FakeCell(int workerCount) {
        IntStream.range(0, workerCount).forEach(number -> workers.add(new FakeWorker("worker-" + number)));
        apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder()
                        .setOrganisation(Organisation.newBuilder()
                                .setName("org")
                                .setWeight(1)
                                .setQuota(QUOTA.toQuantity()))));
    }

    CellState state() {
        return state;
    }

    void declare(int number, int size, int count) {
        ResourceKind kind = ResourceKind.forNumber(number % 3);
        ResourceSpec spec = ResourceSpec.newBuilder()
                .setTaskSize(Quantity.newBuilder()
                        .setCpuMillis(500 + size % 6 * 500L)
                        .setMemoryMegabytes(1_000 + size % 5 * 1_000L)
                        .setAccelerators(size % 7 == 0 ? 1 : 0))
                .setTaskCount(1 + count % 4)
                .setMaxAttempts(3)
                .setUrgent(size % 11 == 0)
                .setOnPartition(size % 4 == 0 ? PartitionPolicy.KEEP : PartitionPolicy.MOVE)
                .build();
        apply(CellCommand.newBuilder()
                .setPutResource(PutResource.newBuilder()
                        .setOrganisation("org")
                        .setKind(kind)
                        .setName("work-" + number % 8)
                        .setSpec(spec)
                        .setExpectedVersion(-1)));
    }

    void delete(int number) {
        apply(CellCommand.newBuilder()
                .setDeleteResource(DeleteResource.newBuilder()
                        .setOrganisation("org")
                        .setKind(ResourceKind.forNumber(number % 3))
                        .setName("work-" + number % 8)
                        .setExpectedVersion(-1)));
    }

    /** Runs one round of the leader: expires leases, then places and preempts tasks. */
    void runLeaderRound() {
        for (Worker worker : leases.expiredWorkers(state, LEASE_MILLIS, nowMillis)) {
            apply(CellCommand.newBuilder()
                    .setLoseWorker(LoseWorker.newBuilder()
                            .setWorker(worker.id().name())
                            .setIncarnation(worker.incarnation())));
        }
        PlacementPlan plan = scheduler.plan(state, nowMillis, 64);
        plan.bindings().forEach(binding -> apply(CellCommand.newBuilder().setBindTasks(binding)));
        plan.preemptions().forEach(preempt -> apply(CellCommand.newBuilder().setPreemptTasks(preempt)));
    }

    /** Replaces the leader by one that has only the state restored from a snapshot. */
    void changeLeader() {
        state = CellState.restore(state.snapshot());
        leases = new WorkerLeases();
        leases.resetIfNewTerm(nowMillis);
        scheduler = new Scheduler(PlacementPolicy.SPREAD_AND_PACK, nowMillis);
    }

    void advance(long millis) {
        nowMillis += millis;
        workers.stream().filter(worker -> !worker.suspended).forEach(worker -> worker.agent.tick(nowMillis));
        check();
    }

    void heartbeat(int number) {
        FakeWorker worker = worker(number);
        if (!worker.suspended) {
            WorkerHeartbeat heartbeat = worker.agent.heartbeat(0, nowMillis);
            worker.sequenceByHeartbeat.put(heartbeat, worker.agent.sequence());
            worker.heartbeatsInFlight.add(heartbeat);
        }
    }

    /** Delivers a heartbeat to the leader, possibly out of order; a kept copy may be delivered again. */
    void deliverHeartbeat(int number, int which, boolean keepCopy) {
        FakeWorker worker = worker(number);
        if (worker.heartbeatsInFlight.isEmpty()) {
            return;
        }
        int index = which % worker.heartbeatsInFlight.size();
        WorkerHeartbeat heartbeat =
                keepCopy ? worker.heartbeatsInFlight.get(index) : worker.heartbeatsInFlight.remove(index);
        if (state.isFromEarlierIncarnation(heartbeat.getWorker())) {
            return;
        }
        leases.grant(worker.name, LEASE_MILLIS, nowMillis);
        if (state.needsRegistration(heartbeat.getWorker())) {
            apply(CellCommand.newBuilder()
                    .setRegisterWorker(RegisterWorker.newBuilder().setWorker(heartbeat.getWorker())));
        }
        List<TaskReport> newReports = WorkerOrdersPlanner.newReports(state, heartbeat);
        if (!newReports.isEmpty()) {
            apply(CellCommand.newBuilder()
                    .setReportTasks(ReportTasks.newBuilder().addAllReports(newReports)));
        }
        Long sequence = worker.sequenceByHeartbeat.get(heartbeat);
        if (sequence != null) {
            worker.ordersInFlight.put(sequence, WorkerOrdersPlanner.plan(state, heartbeat, LEASE_MILLIS));
        }
    }

    void deliverResponses(int number) {
        FakeWorker worker = worker(number);
        if (!worker.suspended) {
            worker.ordersInFlight.forEach((sequence, orders) -> worker.agent.onResponse(sequence, orders, nowMillis));
            worker.ordersInFlight.clear();
            check();
        }
    }

    void loseMessages(int number) {
        worker(number).heartbeatsInFlight.clear();
        worker(number).ordersInFlight.clear();
    }

    void setSuspended(int number, boolean suspended) {
        worker(number).suspended = suspended;
        if (!suspended) {
            worker(number).agent.tick(nowMillis);
        }
    }

    void restartWorker(int number) {
        worker(number).restart();
    }

    void endTask(int number, TaskPhase phase) {
        FakeWorker worker = worker(number);
        if (!worker.suspended) {
            worker.agent.running().stream()
                    .findFirst()
                    .ifPresent(task -> worker.agent.ended(task.order().getTask(), phase));
        }
    }

    /** Ends all faults and checks that all work that can start or end does so. */
    void settleAndCheck() {
        IntStream.range(0, workers.size()).forEach(number -> setSuspended(number, false));
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            advance(100);
            runLeaderRound();
            for (int number = 0; number < workers.size(); number++) {
                loseMessages(number);
                heartbeat(number);
                deliverHeartbeat(number, 0, false);
                deliverResponses(number);
                endFiniteTasks(number);
            }
        }
        for (DeclaredResource resource : state.resources()) {
            boolean hasPendingTasks = resource.count(TaskState.PENDING) > 0;
            assertTrue(
                    !hasPendingTasks || !hasFreeCapacity(resource),
                    "work is pending although capacity is free: " + resource.id());
            assertEquals(resource.count(TaskState.STOPPING), 0, "a task never finishes stopping: " + resource.id());
            boolean stillRunning = !resource.kind().runsForever() && resource.count(TaskState.RUNNING) > 0;
            assertTrue(!stillRunning, "finite work never completes: " + resource.id());
        }
    }

    /** Returns whether the pending tasks could start now, by how many tasks of this size fit on each worker. */
    private boolean hasFreeCapacity(DeclaredResource resource) {
        int requiredTasks = resource.kind().allAtOnce() ? resource.tasks().size() : 1;
        Capacity size = resource.taskSize();
        OrganisationAccount account = resource.account();
        boolean inQuota = account.used().plus(size.times(requiredTasks)).fitsIn(account.quota());
        long placeableTasks = state.workers().stream()
                .filter(worker -> !worker.quarantined(nowMillis))
                .mapToLong(worker -> IntStream.rangeClosed(1, requiredTasks)
                        .filter(count -> size.times(count).fitsIn(worker.free()))
                        .count())
                .sum();
        return inQuota && placeableTasks >= requiredTasks;
    }

    private void endFiniteTasks(int number) {
        worker(number).agent.running().stream()
                .map(task -> task.order().getTask())
                .filter(task -> !task.contains("/services/"))
                .forEach(task -> worker(number).agent.ended(task, TaskPhase.SUCCEEDED));
    }

    private FakeWorker worker(int number) {
        return workers.get(number % workers.size());
    }

    private void apply(CellCommand.Builder command) {
        state.apply(command.setTimeMillis(nowMillis).build());
        check();
    }

    private void check() {
        Map<String, String> workerByTask = new HashMap<>();
        for (FakeWorker worker : workers) {
            if (worker.suspended) {
                continue;
            }
            assertTrue(worker.agent.used().fitsIn(WORKER_SIZE), worker.name + " runs tasks beyond its size");
            for (WorkerAgent.TrackedTask task : worker.agent.running()) {
                String otherWorker = workerByTask.put(task.order().getTask(), worker.name);
                assertTrue(
                        otherWorker == null,
                        task.order().getTask() + " runs on " + otherWorker + " and on " + worker.name);
            }
        }
        for (Worker worker : state.workers()) {
            assertTrue(worker.committed().fitsIn(worker.size()), worker.id() + " is committed beyond its size");
        }
        state.organisations()
                .forEach(account -> assertTrue(account.used().fitsIn(account.quota()), "the quota is exceeded"));
        state.resources().stream()
                .filter(resource -> resource.kind().allAtOnce() && !resource.restarting() && !resource.deleting())
                .forEach(job -> assertTrue(
                        job.count(TaskState.PENDING) == 0
                                || job.count(TaskState.BOUND) + job.count(TaskState.RUNNING) == 0,
                        "only some tasks of the job are started: " + job.id()));
    }
}
