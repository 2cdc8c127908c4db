package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.JobSpec;

/** Tests what the dispatcher reports of jobs that have a ready step and no run placed, in virtual time. */
public class IdleSamplerTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity HALF = new Capacity(16_000, 64_000, 0);
    private static final Capacity SMALL = new Capacity(2_000, 4_000, 0);
    private static final int WORKERS = 4;

    private final List<IdleStatus> samples = new ArrayList<>();
    private final List<Long> sampledMillis = new ArrayList<>();
    private SimulatedCell cell;

    @BeforeMethod
    public void startCellWithoutWorkers() {
        samples.clear();
        sampledMillis.clear();
        cell = new SimulatedCell(7);
        listen();
    }

    private void listen() {
        cell.dispatcher.setStatusListener(sample -> {
            samples.add(sample.idle());
            sampledMillis.add(cell.nowMillis());
        });
    }

    private void startWorkers() {
        cell.addresses(WORKERS).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
    }

    private IdleStatus lastSample() {
        return samples.get(samples.size() - 1);
    }

    /** Occupies a half of each worker, or all of it, for six times the estimate of 700 ms. */
    private void occupy(Capacity size) {
        cell.slowJobs.add("slow");
        cell.submit(cell.job("slow", WORKERS, size, false));
        cell.run(200);
    }

    /** Makes the queue's jobs less urgent, so that they may not use reserved room. */
    private void lessUrgent() {
        cell.putQueues(List.of(cell.queue().toBuilder().setPriority(1).build()));
    }

    @Test
    public void jobThatRunsIsNotIdle() {
        startWorkers();
        occupy(HALF);
        cell.run(1_500);
        assertEquals(lastSample(), new IdleStatus(Map.of(), 0, 0.5, 0, List.of()));
    }

    @Test
    public void jobWithoutUsableWorkerIsIdleSinceItsSubmission() {
        cell.submit(cell.job("job1", 1, SMALL, false));
        long submittedMillis = cell.nowMillis();
        cell.run(2_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_USABLE_WORKER, 1L));
        long idleMillis = sampledMillis.get(samples.size() - 1) - submittedMillis;
        assertTrue(
                Math.abs(lastSample().longestMillis() - idleMillis) <= 10,
                lastSample().longestMillis() + " ms of " + idleMillis);
        assertEquals(lastSample().freeShare(), 0.0);
    }

    @Test
    public void jobWithRefusedCallsWaitsForAdvice() {
        cell.withAdvice();
        startWorkers();
        cell.refusedJobs.add("job1");
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(2_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ADVICE, 1L));
    }

    @Test
    public void jobWithUnknownLabelHasNoEligibleWorker() {
        startWorkers();
        JobSpec spec = cell.job("job1", 1, SMALL, false);
        cell.submit(spec.toBuilder()
                .setSteps(0, spec.getSteps(0).toBuilder().setRequiredLabel("absent"))
                .build());
        cell.run(1_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ELIGIBLE_WORKER, 1L));
    }

    /** Guards against a reason that holds the workers' room responsible for a gang that no workers can hold. */
    @Test
    public void gangThatAllWorkersCannotHoldHasNoEligibleWorker() {
        startWorkers();
        cell.submit(cell.job("gang", 2 * WORKERS + 1, HALF, true));
        cell.run(1_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ELIGIBLE_WORKER, 1L));
    }

    @Test
    public void jobBehindRunsThatFillAllWorkersHasNoRoom() {
        startWorkers();
        occupy(WORKER);
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(1_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ROOM, 1L));
        assertEquals(lastSample().freeShare(), 0.0);
    }

    /**
     * Guards against an overdue run that can't be told from a worker that is really occupied: the pace of a
     * run that stands still is not known.
     */
    @Test
    public void gangBehindRunOfEarlierLeaderWaitsForRoomUntilTheRunIsOverdue() {
        cell.workMillis(2_500);
        startWorkers();
        cell.byAddress.values().forEach(worker -> worker.stalled = true);
        occupy(HALF);
        cell.changeLeader();
        listen();
        cell.run(500);
        cell.submit(cell.job("gang", 2 * WORKERS, HALF, true));
        cell.run(1_200);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ROOM, 1L));
        assertEquals(lastSample().reservedShare(), 1.0);
        cell.run(3_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.OVERDUE_RUN, 1L));
        IdleStatus.IdleJob report = reports().get(reports().size() - 1);
        assertEquals(report.step(), new StepId("gang", 0, 0));
        assertEquals(report.tasks(), 2 * WORKERS);
        assertEquals(report.tasksReserved(), 2 * WORKERS);
        assertEquals(report.workersReserved(), WORKERS);
        assertEquals(report.eligibleWorkers(), WORKERS);
        assertEquals(report.overdueRuns(), WORKERS);
        assertEquals(report.freeShare(), 0.5);
        assertTrue(report.readyInMillis() > 0, report.toString());
    }

    /** Guards against a gang behind another one that looks as if its workers were occupied. */
    @Test
    public void gangWhoseWorkersAreReservedForAnotherHasNoReservation() {
        cell.workMillis(2_500);
        startWorkers();
        occupy(HALF);
        cell.submit(cell.job("gang1", 2 * WORKERS, HALF, true));
        cell.run(100);
        cell.submit(cell.job("gang2", 2 * WORKERS, HALF, true));
        cell.run(1_200);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ROOM, 1L, IdleReason.NO_RESERVATION, 1L));
    }

    /** Guards against reserved room that is reported as occupied. */
    @Test
    public void jobBesideReservedRoomWaitsForReservedRoom() {
        lessUrgent();
        cell.workMillis(2_500);
        startWorkers();
        occupy(HALF);
        cell.submit(cell.job("gang", 2 * WORKERS, HALF, true));
        cell.run(100);
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(1_200);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_ROOM, 1L, IdleReason.ROOM_RESERVED, 1L));
    }

    /** Guards against expired tickets that can't be told from missing room. */
    @Test
    public void gangWithRoomAndExpiredTicketsWaitsForTickets() {
        cell.withAdvice();
        cell.eligiblePercents.put("queue", 100);
        startWorkers();
        occupy(WORKER);
        cell.submit(cell.job("gang", WORKERS, WORKER, true));
        cell.run(1_000);
        cell.refusedJobs.add("gang");
        cell.run(7_000);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_TICKET, 1L));
        assertEquals(lastSample().freeShare(), 1.0);
        assertEquals(reports().get(reports().size() - 1).withoutTicket(), WORKERS);
    }

    @Test
    public void jobForWhichNoVmCanCallWaitsForCaller() {
        cell.withAdvice();
        cell.dispatcher.callers(List.of());
        startWorkers();
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.submit(cell.job("gang", 2, SMALL, true));
        cell.run(1_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.NO_CALLER, 2L));
    }

    /** Guards against a commit that takes long and looks as if the job could not be placed. */
    @Test
    public void jobWhosePlacementIsNotCommittedIsAboutToStart() {
        startWorkers();
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(0);
        cell.stepMillis = 5;
        cell.dispatcher.at(cell.nowMillis() + 5);
        cell.dispatcher.work(cell.wallMillis());
        cell.run(1_500);
        assertEquals(lastSample().jobs(), Map.of(IdleReason.START_UNDER_WAY, 1L));
    }

    /** Guards against a task that must run alone and looks as if there was no room for it. */
    @Test
    public void suspectedJobBesideBusyWorkersWaitsForWorkersOfItsOwn() {
        cell.workMillis(4_000);
        startWorkers();
        occupy(HALF);
        cell.returnMillis = 60_000;
        cell.crashingTasks = task -> task.job().equals("bad");
        cell.submit(cell.job("bad", 1, SMALL, false));
        cell.run(15_000);
        assertTrue(cell.crashes > 0, "no crash");
        assertTrue(
                samples.stream().anyMatch(sample -> sample.jobs().equals(Map.of(IdleReason.ISOLATION, 1L))),
                samples.toString());
    }

    private List<IdleStatus.IdleJob> reports() {
        return samples.stream().flatMap(sample -> sample.longIdle().stream()).toList();
    }

    /** Guards against a job that is idle for long and of which no line tells. */
    @Test
    public void namesEachLongIdleJobEveryFiveSeconds() {
        int idleJobs = 60;
        for (int number = 0; number < idleJobs; number++) {
            cell.submit(cell.job("job" + number, 1, SMALL, false));
        }
        long submittedMillis = cell.nowMillis();
        cell.run(20_000);
        Map<StepId, Long> previousMillis = new HashMap<>();
        for (int sample = 0; sample < samples.size(); sample++) {
            assertTrue(samples.get(sample).longIdle().size() <= IdleSampler.MAX_REPORTS);
            for (IdleStatus.IdleJob job : samples.get(sample).longIdle()) {
                assertTrue(job.idleMillis() >= 3_000, job.toString());
                Long previous = previousMillis.put(job.step(), sampledMillis.get(sample));
                long sinceMillis = sampledMillis.get(sample) - (previous == null ? submittedMillis + 3_000 : previous);
                assertTrue(sinceMillis <= 5_000, job + " after " + sinceMillis + " ms");
            }
        }
        assertEquals(previousMillis.size(), idleJobs);
        assertTrue(
                previousMillis.values().stream().allMatch(millis -> cell.nowMillis() - millis <= 5_000),
                "last named at " + previousMillis);
    }

    /** Guards against a sample whose cost grows with the idle jobs. */
    @Test
    public void examinesLimitedNumberOfIdleJobs() {
        int idleJobs = WaitSampler.MAX_STEPS + 10;
        for (int number = 0; number < idleJobs; number++) {
            cell.submit(cell.job("job" + number, 1, SMALL, false));
        }
        cell.run(6_500);
        assertEquals(
                lastSample().jobs(),
                Map.of(IdleReason.NO_USABLE_WORKER, (long) WaitSampler.MAX_STEPS, IdleReason.NOT_SAMPLED, 10L));
    }

    /**
     * Guards against a count that drifts from the table: with crashes of workers, lost responses, gangs, dependent steps and
     * changes of leader.
     */
    @Test
    public void countsExactlyTheOpenJobsWithReadyStepAndNoRun() {
        startWorkers();
        List<String> differences = new ArrayList<>();
        List<Long> counts = new ArrayList<>();
        cell.lostResponseShare = 0.02;
        cell.crashingTasks = task -> task.job().endsWith("3") && task.index() == 0;
        for (int round = 0; round < 60; round++) {
            if (round % 20 == 10) {
                cell.changeLeader();
            }
            cell.dispatcher.setStatusListener(sample -> {
                long counted = sample.idle().jobs().values().stream()
                        .mapToLong(Long::longValue)
                        .sum();
                long idle = cell.table.jobs().stream().filter(this::idle).count();
                counts.add(counted);
                if (counted != idle) {
                    differences.add("at " + cell.nowMillis() + " counted " + counted + " of " + idle);
                }
            });
            for (int number = 0; number < 4; number++) {
                cell.submit(twoSteps("job" + round + "-" + number, number % 2 == 0));
            }
            cell.run(500);
        }
        assertEquals(differences, List.of());
        assertTrue(counts.stream().anyMatch(count -> count > 0), "no job was idle");
    }

    private JobSpec twoSteps(String id, boolean gang) {
        JobSpec spec = cell.job(id, 4, HALF, gang);
        return spec.toBuilder()
                .addSteps(spec.getSteps(0).toBuilder().addAfter(0))
                .build();
    }

    private boolean idle(Job job) {
        boolean running = job.tasks().anyMatch(task -> task.incarnation().isPresent());
        return job.open()
                && !running
                && job.occurrences().stream()
                        .anyMatch(occurrence -> job.unblocked(occurrence, 0)
                                        && job.tasks(occurrence, 0).stream().anyMatch(JobTask::awaitsPlacement)
                                || job.unblocked(occurrence, 1)
                                        && job.tasks(occurrence, 1).stream().anyMatch(JobTask::awaitsPlacement));
    }
}
