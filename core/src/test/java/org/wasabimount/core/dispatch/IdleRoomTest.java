package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

/**
 * Tests that no job is without a run for more than 3 s while less than half of the cores are in use and the workers that
 * may run it have room for it twice.
 */
public class IdleRoomTest {

    private static final Capacity WORKER = new Capacity(64_000, 131_072, 0);
    private static final Capacity WHOLE = new Capacity(60_000, 20_000, 0);

    private final List<SimulatedWorker> workers = new ArrayList<>();
    private SimulatedCell cell;
    private Queue open;

    /** Creates a cell with advice at the cost of a large deployment, and a queue with cheap advice beside it. */
    private StalledJobs cell(int workerCount, int eligiblePercent, int callers) {
        cell = new SimulatedCell(7);
        cell.putQueues(
                List.of(cell.queue().toBuilder().setAdvice(advice(559, 8.06)).build()));
        open = cell.queue().toBuilder()
                .setName("open")
                .setPathPrefix("/o/")
                .setAdvice(advice(20, 0.2))
                .build();
        cell.putQueues(List.of(cell.queue(), open));
        cell.eligiblePercents.put("queue", eligiblePercent);
        cell.eligiblePercents.put("open", 100);
        workers.clear();
        cell.addresses(workerCount).forEach(address -> workers.add(cell.worker("w" + address, address, WORKER)));
        setCallers(callers);
        return new StalledJobs(cell);
    }

    private static AdviceCost advice(double callMillis, double workerMillis) {
        return AdviceCost.newBuilder()
                .setCallMillis(callMillis)
                .setWorkerMillis(workerMillis)
                .setValidMillis(2_500)
                .build();
    }

    private void setCallers(int callers) {
        cell.dispatcher.callers(
                IntStream.range(0, callers).mapToObj(number -> "vm" + number).toList());
    }

    private void submitToOpen(String id, int count, Capacity size, long estimateMillis, boolean gang) {
        cell.workMillis(estimateMillis);
        JobSpec spec =
                cell.job(id, count, size, gang).toBuilder().setQueue("open").build();
        cell.submit(spec, open);
    }

    private void assertNothingStalled(StalledJobs stalled) {
        assertEquals(cell.violations, List.of());
        assertEquals(stalled.stalled.toString(), "{}");
    }

    /** Has a gang run on some workers for minutes although its estimate is 1 s; the leader does not know its progress. */
    private void occupyLongerThanEstimated(int count, int callers) {
        cell.run(1_000);
        cell.gangsSlowDown = true;
        workers.forEach(worker -> worker.slowdownFactor = 200);
        submitToOpen("overdue", count, WHOLE, 1_000, true);
        cell.run(3_000);
        workers.forEach(worker -> worker.slowdownFactor = 1);
        cell.changeLeader();
        setCallers(callers);
        cell.run(3_000);
    }

    /** Guards against a gang that waits for overdue runs while workers that are known to be eligible are idle. */
    @Test
    public void gangLeavesOverdueRunsForKnownIdleWorkers() {
        StalledJobs stalled = cell(32, 100, 8);
        occupyLongerThanEstimated(12, 8);
        submitToOpen("others", 20, WHOLE, 8_000, false);
        cell.run(500);
        cell.workMillis(2_000);
        cell.submit(cell.job("gang", 8, WHOLE, true));
        stalled.run(25_000);
        assertNothingStalled(stalled);
    }

    /** Guards against a gang that waits for overdue runs while workers that no call has named are idle. */
    @Test
    public void gangLeavesOverdueRunsForWorkersNotNamedYet() {
        StalledJobs stalled = cell(120, 100, 8);
        occupyLongerThanEstimated(50, 8);
        submitToOpen("others", 70, WHOLE, 8_000, false);
        cell.run(500);
        cell.workMillis(2_000);
        cell.submit(cell.job("gang", 5, WHOLE, true));
        stalled.run(25_000);
        assertNothingStalled(stalled);
    }

    /** Guards against a gang whose known workers are all reserved for another one and that asks for no others. */
    @Test
    public void gangAsksForIdleWorkersWhileKnownOnesAreReserved() {
        StalledJobs stalled = cell(120, 100, 8);
        workers.forEach(worker -> worker.label = "b");
        workers.forEach(worker -> worker.rack = "r2");
        workers.subList(0, 40).forEach(worker -> worker.label = "a");
        workers.subList(0, 40).forEach(worker -> worker.rack = "r1");
        cell.run(1_000);
        cell.workMillis(60_000);
        cell.submit(labelled(cell.job("lasting", 10, WHOLE, false)));
        stalled.run(3_000);
        cell.workMillis(2_000);
        cell.submit(labelled(cell.job("first", 40, WHOLE, true)));
        stalled.run(4_000);
        JobSpec gang = cell.job("gang", 5, WHOLE, true);
        cell.submit(gang.toBuilder()
                .setSteps(0, gang.getSteps(0).toBuilder().setDataRack("r1"))
                .build());
        stalled.run(15_000);
        assertNothingStalled(stalled);
    }

    /** Guards against a gang that may not reserve, because others hold all reservations, and therefore never starts. */
    @Test
    public void gangStartsInFreeRoomWhileOthersHoldAllReservations() {
        StalledJobs stalled = cell(40, 100, 8);
        cell.putQueues(List.of(cell.queue().toBuilder().setPriority(1).build(), open));
        workers.subList(10, 20).forEach(worker -> worker.label = "b");
        workers.subList(20, 40).forEach(worker -> worker.label = "c");
        cell.run(1_000);
        cell.workMillis(60_000);
        cell.submit(labelled(cell.job("lasting1", 2, WHOLE, false), "a"));
        cell.submit(labelled(cell.job("lasting2", 2, WHOLE, false), "b"));
        cell.submit(labelled(cell.job("lasting3", 4, WHOLE, false), "c"));
        stalled.run(3_000);
        cell.workMillis(2_000);
        cell.submit(labelled(cell.job("first", 10, WHOLE, true), "a"));
        cell.submit(labelled(cell.job("second", 10, WHOLE, true), "b"));
        stalled.run(4_000);
        cell.submit(labelled(cell.job("gang", 4, WHOLE, true), "c"));
        stalled.run(15_000);
        assertNothingStalled(stalled);
        assertEquals(cell.phase("gang"), JobPhase.COMPLETED);
    }

    private static JobSpec labelled(JobSpec job) {
        return labelled(job, "a");
    }

    private static JobSpec labelled(JobSpec job, String label) {
        return job.toBuilder()
                .setSteps(0, job.getSteps(0).toBuilder().setRequiredLabel(label))
                .build();
    }

    /** Guards against workers that a step of ordinary tasks never uses again after they were given up and came back. */
    @Test
    public void tasksUseWorkersThatWereCutOffAndCameBack() {
        StalledJobs stalled = cell(12, 100, 8);
        cell.run(1_000);
        cell.workMillis(6_000);
        cell.submit(cell.job("tasks", 8, WHOLE, false));
        cell.run(3_000);
        workers.forEach(worker -> cell.disconnectedAddresses.add(worker.address));
        cell.run(25_000);
        cell.disconnectedAddresses.clear();
        stalled.run(15_000);
        assertNothingStalled(stalled);
    }

    /** Guards against workers that a waiting gang never uses again after they were given up as silent and came back. */
    @Test
    public void gangUsesWorkersThatWereCutOffAndCameBack() {
        StalledJobs stalled = cell(20, 100, 8);
        cell.run(1_000);
        submitToOpen("lasting", 6, WHOLE, 200_000, false);
        cell.run(2_000);
        List<SimulatedWorker> idle =
                workers.stream().filter(worker -> worker.activeRuns.isEmpty()).toList();
        submitToOpen("others", 14, WHOLE, 8_000, false);
        cell.run(500);
        cell.workMillis(2_000);
        cell.submit(cell.job("gang", 6, WHOLE, true));
        cell.run(2_000);
        idle.forEach(worker -> cell.disconnectedAddresses.add(worker.address));
        cell.run(25_000);
        cell.disconnectedAddresses.clear();
        stalled.run(15_000);
        assertNothingStalled(stalled);
    }

    /** Submits gangs of several widths, two to four tasks for a worker. */
    private void submitGangs(int rounds) {
        Capacity[] sizes = {
            new Capacity(30_000, 20_000, 0), new Capacity(21_000, 18_000, 0), new Capacity(15_000, 16_000, 0)
        };
        int[] counts = {5, 20, 60, 120};
        for (int round = 0; round < rounds; round++) {
            for (int number = 0; number < counts.length; number++) {
                cell.workMillis(3_000);
                Capacity size = sizes[(round + number) % sizes.length];
                cell.submit(cell.job("gang" + round + "-" + counts[number], counts[number], size, true));
            }
        }
    }

    /** Guards against gangs that lose their reservations again and again to workers that are unusable for a moment. */
    @Test
    public void gangsStartAlthoughWorkersAreUnusableForMoments() {
        StalledJobs stalled = cell(246, 25, 32);
        cell.run(2_000);
        cell.delayedAnnouncementShare = 0.5;
        cell.lostResponseShare = 0.04;
        stalled.run(3_000);
        submitGangs(1);
        stalled.run(12_000);
        assertNothingStalled(stalled);
    }

    /** Guards against gangs that wait for their first call behind those of others after a new leader has taken over. */
    @Test
    public void fewCallersServeWaitingGangsOfNewLeader() {
        StalledJobs stalled = cell(100, 50, 4);
        cell.run(2_000);
        cell.leaderSuspended = true;
        cell.run(1_000);
        cell.workMillis(3_000);
        for (int number = 0; number < 4; number++) {
            cell.submit(cell.job("gang" + number, 4, new Capacity(15_000, 16_000, 0), true));
        }
        cell.leaderSuspended = false;
        cell.changeLeader();
        setCallers(4);
        stalled.run(10_000);
        assertNothingStalled(stalled);
    }

    /** Guards against tasks that wait for workers of their own beside idle ones after half of the workers were lost. */
    @Test
    public void suspectsStartAfterHalfOfTheWorkersWereLostTwice() {
        StalledJobs stalled = cell(60, 60, 32);
        cell.run(1_500);
        cell.workMillis(20_000);
        Capacity size = new Capacity(15_000, 16_000, 0);
        for (int number = 0; number < 4; number++) {
            cell.submit(cell.job("gang" + number, 10, size, true));
            cell.submit(cell.job("tasks" + number, 8, size, false));
        }
        stalled.run(4_000);
        loseHalf();
        stalled.run(8_000);
        loseHalf();
        stalled.run(25_000);
        assertNothingStalled(stalled);
    }

    /** Guards against innocent tasks that run one after the other because many workers crashed at the same moment, twice. */
    @Test
    public void tasksRunTogetherAfterTwoThirdsOfTheWorkersWereLostTwice() {
        cell(60, 60, 32);
        cell.run(1_500);
        cell.workMillis(6_000);
        Capacity size = new Capacity(15_000, 16_000, 0);
        for (int number = 0; number < 8; number++) {
            cell.submit(cell.job("tasks" + number, 8, size, false));
        }
        cell.run(4_000);
        loseThird(0);
        loseThird(1);
        cell.run(8_000);
        loseThird(1);
        loseThird(2);
        // A lease, a call for advice and the longest run.
        cell.run(SimulatedCell.LEASE_MILLIS + 3_000 + 9_000);
        assertEquals(
                IntStream.range(0, 8)
                        .filter(number -> cell.phase("tasks" + number) != JobPhase.COMPLETED)
                        .count(),
                0);
        assertEquals(cell.violations, List.of());
    }

    private void loseThird(int third) {
        List<SimulatedWorker> known = List.copyOf(cell.byAddress.values());
        IntStream.range(0, known.size())
                .filter(number -> number % 3 == third && !known.get(number).crashed)
                .forEach(number -> cell.loseFor(known.get(number), 2_000));
    }

    /** Crashes the workers with most runs. */
    private void loseHalf() {
        List<SimulatedWorker> alive = cell.byAddress.values().stream()
                .filter(worker -> !worker.crashed)
                .sorted(Comparator.comparingInt((SimulatedWorker worker) -> worker.activeRuns.size())
                        .reversed())
                .limit(cell.byAddress.size() / 2)
                .toList();
        IntStream.range(0, alive.size()).forEach(number -> cell.loseFor(alive.get(number), 2_000 + 100L * number));
    }

    /** Guards against urgent gangs that wait behind overdue runs although others are idle. */
    @Test
    public void urgentGangLeavesOverdueRunsForIdleWorkers() {
        StalledJobs stalled = cell(32, 100, 8);
        cell.putQueues(List.of(cell.queue().toBuilder().setPriority(0).build(), open));
        occupyLongerThanEstimated(12, 8);
        submitToOpen("others", 20, WHOLE, 8_000, false);
        cell.run(500);
        cell.workMillis(1_000);
        cell.submit(cell.job("gang", 8, WHOLE, true));
        stalled.run(25_000);
        assertNothingStalled(stalled);
    }

    /** Guards against ordinary tasks that no call serves although workers have become idle. */
    @Test
    public void tasksUseWorkersThatHaveBecomeIdle() {
        StalledJobs stalled = cell(32, 100, 8);
        occupyLongerThanEstimated(12, 8);
        submitToOpen("others", 20, WHOLE, 8_000, false);
        cell.run(500);
        cell.workMillis(1_000);
        cell.submit(cell.job("tasks", 8, WHOLE, false));
        stalled.run(25_000);
        assertNothingStalled(stalled);
    }

    /** Guards against a reservation on a worker that shrinks below what its lasting runs leave, next to idle workers. */
    @Test
    public void gangLeavesWorkerThatHasShrunk() {
        StalledJobs stalled = cell(30, 100, 8);
        cell.run(1_000);
        Capacity half = new Capacity(30_000, 20_000, 0);
        JobSpec lasting = cell.job("lasting", 4, half, false);
        cell.submit(
                lasting.toBuilder()
                        .setQueue("open")
                        .setSteps(0, lasting.getSteps(0).toBuilder().setLongRunning(true))
                        .build(),
                open);
        cell.run(1_000);
        List<SimulatedWorker> holders =
                workers.stream().filter(worker -> !worker.activeRuns.isEmpty()).toList();
        submitToOpen("others", 26, WHOLE, 5_000, false);
        cell.run(500);
        cell.workMillis(2_000);
        cell.submit(cell.job("gang", 8, half, true));
        cell.run(1_500);
        holders.forEach(worker -> worker.resize(new Capacity(50_000, 131_072, 0)));
        stalled.run(15_000);
        assertNothingStalled(stalled);
    }
}
