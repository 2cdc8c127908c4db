package org.wasabimount.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.CellState;
import org.wasabimount.core.cell.Task;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.WorkKind;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.LoseWorker;
import org.wasabimount.protocol.cell.Organisation;
import org.wasabimount.protocol.cell.PutOrganisation;
import org.wasabimount.protocol.cell.PutResource;
import org.wasabimount.protocol.cell.RegisterWorker;
import org.wasabimount.protocol.cell.ReportTasks;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.TaskPhase;
import org.wasabimount.protocol.cell.TaskReport;
import org.wasabimount.protocol.cell.WorkerState;

/** Tests where the scheduler places work, and which workers are quarantined after failures. */
public class SchedulerTest {

    private static final Capacity WORKER = new Capacity(4_000, 8_000, 0);
    private static final Capacity QUOTA = new Capacity(100_000, 200_000, 10);

    private static final long LONGEST_RETRY_MILLIS = 1_600;

    private CellState state;
    private Scheduler scheduler;
    private long nowMillis;

    @BeforeMethod
    public void createEmptyCell() {
        state = new CellState();
        scheduler = new Scheduler(PlacementPolicy.SPREAD_AND_PACK, 1);
        nowMillis = 1_000;
        organisation("org", QUOTA);
    }

    @Test
    public void spreadsServiceOverDomains() {
        for (int number = 0; number < 6; number++) {
            worker("w" + number, "domain-" + number % 3, WORKER);
        }
        declare(ResourceKind.SERVICE, "web", new Capacity(1_000, 1_000, 0), 3);
        round();
        Set<String> domains = new HashSet<>();
        state.workers().stream()
                .filter(worker -> !worker.tasks().isEmpty())
                .forEach(worker -> domains.add(worker.domain().name()));
        assertEquals(domains.size(), 3);
    }

    @Test
    public void packsBatchOnFewWorkers() {
        for (int number = 0; number < 4; number++) {
            worker("w" + number, "domain-0", WORKER);
        }
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 2_000, 0), 4);
        round();
        long used = state.workers().stream()
                .filter(worker -> !worker.tasks().isEmpty())
                .count();
        assertEquals(used, 1);
    }

    @Test
    public void startsJobWholeOrNotAtAll() {
        worker("w0", "domain-0", WORKER);
        declare(ResourceKind.JOB, "weights", new Capacity(3_000, 1_000, 0), 2);
        round();
        assertEquals(count(TaskState.BOUND), 0);
        worker("w1", "domain-0", WORKER);
        nowMillis += LONGEST_RETRY_MILLIS;
        round();
        assertEquals(count(TaskState.BOUND), 2);
    }

    @Test
    public void jobOverQuotaReservesNothing() {
        organisation("org", new Capacity(4_000, 200_000, 10));
        worker("w0", "domain-0", WORKER);
        worker("w1", "domain-0", WORKER);
        declare(ResourceKind.SERVICE, "web", new Capacity(1_000, 1_000, 0), 1);
        round();
        declare(ResourceKind.JOB, "weights", new Capacity(2_000, 1_000, 0), 2);
        round();
        nowMillis += Scheduler.RESERVE_AFTER_MILLIS;
        round();
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 1_000, 0), 1);
        round();
        assertEquals(count(TaskState.BOUND), 2);
    }

    @Test
    public void reservesWorkersForLongWaitingJob() {
        worker("w0", "domain-0", WORKER);
        worker("w1", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "first", new Capacity(2_000, 1_000, 0), 2);
        round();
        declare(ResourceKind.JOB, "weights", new Capacity(4_000, 1_000, 0), 2);
        round();
        nowMillis += Scheduler.RESERVE_AFTER_MILLIS;
        round();
        declare(ResourceKind.BATCH, "later", new Capacity(1_000, 1_000, 0), 2);
        round();
        assertEquals(count(TaskState.BOUND), 2);
        report("org/batches/first/0", TaskPhase.SUCCEEDED);
        report("org/batches/first/1", TaskPhase.SUCCEEDED);
        nowMillis += LONGEST_RETRY_MILLIS;
        round();
        assertEquals(state.task("org/jobs/weights/0").orElseThrow().state(), TaskState.BOUND);
    }

    @Test
    public void releasesReservationThatServicesMakeInfeasible() {
        worker("w0", "domain-0", WORKER);
        worker("w1", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "first", new Capacity(1_000, 1_000, 0), 1);
        round();
        declare(ResourceKind.JOB, "weights", new Capacity(4_000, 1_000, 0), 2);
        round();
        nowMillis += Scheduler.RESERVE_AFTER_MILLIS;
        round();
        declare(ResourceKind.SERVICE, "web", new Capacity(1_000, 1_000, 0), 2);
        round();
        declare(ResourceKind.BATCH, "later", new Capacity(1_000, 1_000, 0), 1);
        nowMillis += LONGEST_RETRY_MILLIS;
        round();
        assertEquals(state.task("org/batches/later/0").orElseThrow().state(), TaskState.BOUND);
    }

    /** Guards against idle workers that stay reserved for a job which waits for a task that doesn't end. */
    @Test
    public void reservationThatWaitsForEndlessTaskEnds() {
        worker("w0", "domain-0", WORKER);
        worker("w1", "domain-0", WORKER);
        declare(ResourceKind.JOB, "endless", new Capacity(2_000, 1_000, 0), 1);
        round();
        declare(ResourceKind.JOB, "wide", new Capacity(4_000, 1_000, 0), 2);
        round();
        nowMillis += Scheduler.RESERVE_AFTER_MILLIS;
        round();
        declare(ResourceKind.JOB, "narrow", new Capacity(1_000, 1_000, 0), 2);
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 1_000, 0), 1);
        for (int step = 0; step < 400; step++) {
            nowMillis += LONGEST_RETRY_MILLIS;
            round();
        }
        assertEquals(state.task("org/jobs/narrow/0").orElseThrow().state(), TaskState.BOUND);
        assertEquals(state.task("org/batches/codes/0").orElseThrow().state(), TaskState.BOUND);
    }

    /** Guards against a job that never starts beside a stream of tasks, as its reservation ends before they do. */
    @Test
    public void reservationOutlastsTasksThatRunLong() {
        worker("w0", "domain-0", WORKER);
        worker("w1", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 1_000, 0), 1_000);
        round();
        declare(ResourceKind.JOB, "wide", new Capacity(4_000, 1_000, 0), 2);
        Map<String, Long> startedMillis = new HashMap<>();
        for (int step = 0; step < 1_000; step++) {
            nowMillis += LONGEST_RETRY_MILLIS;
            List<Task> running = state.workers().stream()
                    .flatMap(worker -> worker.tasks().stream())
                    .filter(task -> task.owner().kind() == WorkKind.BATCH)
                    .toList();
            for (Task task : running) {
                boolean ended = nowMillis - startedMillis.computeIfAbsent(task.id(), started -> nowMillis) >= 90_000;
                report(task.id(), ended ? TaskPhase.SUCCEEDED : TaskPhase.RUNNING);
            }
            round();
        }
        assertEquals(state.task("org/jobs/wide/0").orElseThrow().state(), TaskState.BOUND);
    }

    @Test
    public void trustsWorkerAgainAfterTimeWithoutFailure() {
        worker("w0", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 1_000, 0), 1);
        round();
        report("org/batches/codes/0", TaskPhase.FAILED);
        declare(ResourceKind.SERVICE, "web", new Capacity(2_000, 1_000, 0), 1);
        round();
        report("org/services/web/0", TaskPhase.RUNNING);
        declare(ResourceKind.JOB, "weights", new Capacity(500, 500, 0), 2);
        nowMillis += 10_000;
        round();
        assertEquals(state.task("org/jobs/weights/0").orElseThrow().state(), TaskState.PENDING);
        nowMillis += 60_000;
        round();
        assertEquals(state.task("org/jobs/weights/0").orElseThrow().state(), TaskState.BOUND);
    }

    @Test
    public void prefersOrganisationWithSmallerShare() {
        organisation("other", QUOTA);
        worker("w0", "domain-0", WORKER);
        declare("org", ResourceKind.BATCH, "first", new Capacity(1_000, 1_000, 0), 1);
        round();
        declare("org", ResourceKind.BATCH, "second", new Capacity(3_000, 1_000, 0), 1);
        declare("other", ResourceKind.BATCH, "third", new Capacity(3_000, 1_000, 0), 1);
        round();
        assertEquals(state.task("other/batches/third/0").orElseThrow().state(), TaskState.BOUND);
    }

    @Test
    public void quarantinesFailingWorkerAfterAtMostFiveStarts() {
        worker("bad", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "proof", new Capacity(500, 500, 0), 1);
        worker("good", "domain-0", WORKER);
        for (int number = 0; number < 5; number++) {
            declare(ResourceKind.BATCH, "work-" + number, new Capacity(500, 500, 0), 10);
        }
        int failedStarts = 0;
        for (int step = 0; step < 200; step++) {
            round();
            failedStarts += reportAll("bad", TaskPhase.FAILED);
            reportAll("good", TaskPhase.SUCCEEDED);
            nowMillis += 1_000;
        }
        assertTrue(failedStarts <= 5, failedStarts + " starts failed on the failing worker");
        assertEquals(count(TaskState.SUCCEEDED), 51);
    }

    @Test
    public void quarantinesNoWorkerForBatchThatFailsEverywhere() {
        for (int number = 0; number < 6; number++) {
            worker("w" + number, "domain-0", WORKER);
        }
        declare(ResourceKind.BATCH, "broken", new Capacity(500, 500, 0), 12);
        for (int step = 0; step < 60; step++) {
            round();
            state.workers().forEach(worker -> reportAll(worker.id().name(), TaskPhase.FAILED));
            nowMillis += 1_000;
        }
        assertTrue(state.workers().stream().noneMatch(worker -> worker.quarantined(nowMillis)));
        assertEquals(count(TaskState.FAILED), 12);
    }

    @Test
    public void packsBurstOfSmallTasksOnFewWorkers() {
        for (int number = 0; number < 4; number++) {
            worker("w" + number, "domain-0", WORKER);
        }
        declare(ResourceKind.BATCH, "codes", new Capacity(250, 500, 0), 16);
        for (int step = 0; step < 6; step++) {
            round();
            state.workers().stream()
                    .flatMap(worker -> java.util.List.copyOf(worker.tasks()).stream())
                    .forEach(task -> report(task.id(), TaskPhase.RUNNING));
            nowMillis += 200;
        }
        assertEquals(count(TaskState.RUNNING), 16);
        long used = state.workers().stream()
                .filter(worker -> !worker.tasks().isEmpty())
                .count();
        assertEquals(used, 1);
    }

    @Test
    public void startsJobWithMoreTasksThanStartLimits() {
        worker("w0", "domain-0", WORKER);
        declare(ResourceKind.JOB, "weights", new Capacity(250, 500, 0), 16);
        round();
        assertEquals(count(TaskState.BOUND), 0);
        nowMillis += 2_000;
        round();
        assertEquals(count(TaskState.BOUND), 16);
    }

    @Test
    public void organisationOverQuotaDoesNotBlockOthers() {
        organisation("poor", new Capacity(1_000, 1_000, 0));
        worker("w0", "domain-0", WORKER);
        declare("poor", ResourceKind.BATCH, "wide", new Capacity(1_000, 1_000, 0), 2);
        round();
        declare("org", ResourceKind.BATCH, "more", new Capacity(1_000, 1_000, 0), 2);
        round();
        assertEquals(count(TaskState.BOUND), 3);
    }

    @Test
    public void stopsBatchTasksForUrgentWork() {
        worker("w0", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "codes", new Capacity(2_000, 1_000, 0), 2);
        round();
        report("org/batches/codes/0", TaskPhase.RUNNING);
        report("org/batches/codes/1", TaskPhase.RUNNING);
        declareUrgent("check", new Capacity(1_000, 1_000, 0));
        round();
        assertEquals(count(TaskState.STOPPING), 1);
        report("org/batches/codes/1", TaskPhase.STOPPED);
        nowMillis += 100;
        round();
        assertEquals(state.task("org/batches/check/0").orElseThrow().state(), TaskState.BOUND);
        assertEquals(state.task("org/batches/codes/1").orElseThrow().failures(), 0);
        assertEquals(state.task("org/batches/codes/1").orElseThrow().state(), TaskState.PENDING);
    }

    @Test
    public void explainsThatWorkersAreLost() {
        worker("w0", "domain-0", WORKER);
        declare(ResourceKind.BATCH, "codes", new Capacity(1_000, 1_000, 0), 1);
        apply(CellCommand.newBuilder()
                .setLoseWorker(LoseWorker.newBuilder().setWorker("w0").setIncarnation(1)));
        var waiting = state.resources().iterator().next();
        assertEquals(
                scheduler.explain(state, waiting, nowMillis).orElseThrow(),
                "all 1 workers that are large enough are lost, leaving or in quarantine");
    }

    private int reportAll(String worker, TaskPhase phase) {
        var workerTasks =
                java.util.List.copyOf(state.worker(worker).orElseThrow().tasks());
        workerTasks.forEach(task -> report(task.id(), phase));
        return workerTasks.size();
    }

    private void round() {
        PlacementPlan plan = scheduler.plan(state, nowMillis, 100);
        plan.bindings()
                .forEach(binding -> assertEquals(apply(CellCommand.newBuilder().setBindTasks(binding)), 0));
        plan.preemptions().forEach(preempt -> apply(CellCommand.newBuilder().setPreemptTasks(preempt)));
    }

    private int count(TaskState expected) {
        return state.resources().stream()
                .mapToInt(resource -> resource.count(expected))
                .sum();
    }

    private void report(String id, TaskPhase phase) {
        var task = state.task(id).orElseThrow();
        Worker worker = task.worker();
        apply(CellCommand.newBuilder()
                .setReportTasks(ReportTasks.newBuilder()
                        .addReports(TaskReport.newBuilder()
                                .setTask(id)
                                .setEpoch(task.epoch())
                                .setPhase(phase)
                                .setWorker(worker.id().name()))));
    }

    private void organisation(String name, Capacity quota) {
        apply(CellCommand.newBuilder()
                .setPutOrganisation(PutOrganisation.newBuilder()
                        .setOrganisation(Organisation.newBuilder()
                                .setName(name)
                                .setWeight(1)
                                .setQuota(quota.toQuantity()))));
    }

    private void worker(String name, String domain, Capacity size) {
        apply(CellCommand.newBuilder()
                .setRegisterWorker(RegisterWorker.newBuilder()
                        .setWorker(WorkerState.newBuilder()
                                .setWorker(name)
                                .setIncarnation(1)
                                .setDomain(domain)
                                .setRack(domain + "-rack")
                                .setSize(size.toQuantity()))));
    }

    private void declare(ResourceKind kind, String name, Capacity size, int count) {
        declare("org", kind, name, size, count);
    }

    private void declare(String organisation, ResourceKind kind, String name, Capacity size, int count) {
        declare(organisation, kind, name, size, count, false);
    }

    private void declareUrgent(String name, Capacity size) {
        declare("org", ResourceKind.BATCH, name, size, 1, true);
    }

    private void declare(
            String organisation, ResourceKind kind, String name, Capacity size, int count, boolean urgent) {
        apply(CellCommand.newBuilder()
                .setPutResource(PutResource.newBuilder()
                        .setOrganisation(organisation)
                        .setKind(kind)
                        .setName(name)
                        .setExpectedVersion(-1)
                        .setSpec(ResourceSpec.newBuilder()
                                .setTaskSize(size.toQuantity())
                                .setTaskCount(count)
                                .setUrgent(urgent)
                                .setMaxAttempts(4))));
    }

    private int apply(CellCommand.Builder command) {
        return state.apply(command.setTimeMillis(nowMillis).build()).getResultCode();
    }
}
