package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.protocol.job.JobPhase;

/**
 * Tests starts that were meant for a worker's earlier life and are taken by the next one under the same id, which leaves
 * them unanswered and carries them out late. {@link SimulatedCell} checks that no task runs twice.
 */
public class LaterLifeTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity LARGE = new Capacity(20_000, 20_000, 0);
    private static final Capacity MEDIUM = new Capacity(12_000, 12_000, 0);
    private static final Capacity SMALL = new Capacity(2_000, 4_000, 0);
    private static final long LATE_MILLIS = 5_000;
    private static final long FIRST_WORK_MILLIS = 1_300;
    private static final long WORK_MILLIS = 9_000;
    private static final long END_MILLIS = 40_000;

    /** Time after which the leader has no answer to the renewal that the earlier life took with it. */
    private static final long NOTICED_MILLIS = 1_300;

    /** Number of workers that must have crashed under a task before its job may be given up, from the contract. */
    private static final int CRASHES_OF_LIMITED_TASK = 3;

    private SimulatedCell cell;
    private SimulatedWorker free;

    @BeforeMethod
    public void occupyOneOfTwoWorkers() {
        cell = new SimulatedCell(7);
        cell.addresses(2).forEach(address -> cell.worker("w" + address, address, WORKER));
        // The clock of a life that starts now stays behind the deadlines that were made for this one's.
        cell.run(30_000);
        cell.workMillis(FIRST_WORK_MILLIS);
        cell.submit(cell.job("busy", 1, LARGE, false));
        cell.run(100);
        free = cell.byAddress.values().stream()
                .filter(worker -> worker.activeRuns.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    /** Starts the free worker again, and submits a job whose only start reaches its new life. */
    private SimulatedWorker sendStartToLaterLife(long firstAnnouncementMillis, boolean gang) {
        SimulatedWorker later = cell.startAgain(free, firstAnnouncementMillis);
        cell.lateStartMillis.put(free.address, LATE_MILLIS);
        cell.workMillis(WORK_MILLIS);
        cell.submit(cell.job("job", gang ? 3 : 1, gang ? MEDIUM : LARGE, gang));
        cell.run(100);
        cell.lateStartMillis.clear();
        return later;
    }

    private void assertCompletedWithoutSecondRun() {
        cell.run(END_MILLIS);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job"), JobPhase.COMPLETED);
        assertTrue(cell.lateStarts > 0, "no start was carried out late");
    }

    /** Guards against a task that runs twice: the leader learned of the later life by its list of runs. */
    @Test
    public void lateStartIsRejectedByLifeThatListsItsRuns() {
        sendStartToLaterLife(10_000, false);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against a task that runs twice: the leader learned of the later life by its announcement. */
    @Test
    public void lateStartIsRejectedByLifeThatAnnouncesItself() {
        sendStartToLaterLife(150, false);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against a stop that is taken as carried out although it was not answered. */
    @Test
    public void laterLifeIsStoppedUntilItAnswers() {
        sendStartToLaterLife(150, false);
        cell.lostStopResponses.add(free.address);
        cell.run(LATE_MILLIS / 2);
        cell.lostStopResponses.clear();
        assertCompletedWithoutSecondRun();
    }

    @Test
    public void thirdLifeIsAskedAsWell() {
        SimulatedWorker second = sendStartToLaterLife(10_000, false);
        cell.run(NOTICED_MILLIS);
        cell.startAgain(second, 300);
        cell.run(END_MILLIS);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job"), JobPhase.COMPLETED);
    }

    /** The next leader's calls carry a higher fence, which the later life has seen before it can carry out the start. */
    @Test
    public void lateStartIsFencedByNextLeader() {
        sendStartToLaterLife(700, false);
        cell.run(300);
        cell.changeLeader();
        assertCompletedWithoutSecondRun();
    }

    @Test
    public void lateStartOfCancelledJobIsRejected() {
        SimulatedWorker later = sendStartToLaterLife(700, false);
        cell.cancel("job");
        cell.run(LATE_MILLIS - 200);
        cell.delayedOrderShare = 0;
        cell.run(END_MILLIS);
        assertTrue(cell.lateStarts > 0);
        assertEquals(cell.violations, List.of());
        assertTrue(later.activeRuns.isEmpty());
    }

    @Test
    public void gangRunsAgainOnceItsLateTaskIsRejected() {
        sendStartToLaterLife(700, true);
        assertCompletedWithoutSecondRun();
    }

    /**
     * Guards against a task that runs twice: the later life is cut off before the leader has heard of it, so that only the
     * expiry of the earlier life's leases is known.
     */
    @Test(groups = "known-red")
    public void lateStartIsAwaitedInLifeThatIsCutOff() {
        SimulatedWorker later = cell.startAgain(free, 10_000);
        cell.lateStartMillis.put(free.address, LATE_MILLIS + 5_000);
        cell.workMillis(WORK_MILLIS);
        cell.submit(cell.job("job", 1, LARGE, false));
        cell.run(100);
        cell.disconnectedAddresses.add(later.address);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against a start that is sent to the later life between the decision to record it and the commit of that. */
    @Test
    public void nothingIsStartedWhileLaterLifeIsBeingRecorded() {
        for (int firstAnnouncementMillis = 0; firstAnnouncementMillis < 60; firstAnnouncementMillis++) {
            occupyOneOfTwoWorkers();
            SimulatedWorker later = cell.startAgain(free, firstAnnouncementMillis);
            cell.lateStartMillis.put(free.address, LATE_MILLIS);
            cell.workMillis(WORK_MILLIS);
            cell.run(20);
            cell.submit(cell.job("job", 1, LARGE, false));
            cell.run(100);
            cell.lateStartMillis.clear();
            cell.run(END_MILLIS);
            assertEquals(cell.violations, List.of(), "announced after " + firstAnnouncementMillis + " ms");
            assertEquals(cell.phase("job"), JobPhase.COMPLETED);
            assertTrue(cell.byAddress.containsValue(later));
        }
    }

    /** Guards against capacity that stays unused: a life that has nothing to carry out is used at once. */
    @Test
    public void lifeWithoutEarlierOrdersIsUsedAtOnce() {
        SimulatedWorker later = cell.startAgain(free, 50);
        cell.run(200);
        cell.submit(cell.job("job", 1, LARGE, false));
        cell.run(100);
        assertEquals(later.activeRuns.size(), 1);
    }

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("wasabimount.fuzz.first", 1);
        long count = Long.getLong("wasabimount.fuzz.seeds", 40);
        return LongStream.range(first, first + count)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** Draws workers that start again under their ids, late orders, lost responses and changes of leader. */
    @Test(dataProvider = "seeds")
    public void noTaskRunsTwiceWhileWorkersStartAgain(long seed) {
        cell = new SimulatedCell(seed);
        if (seed % 2 == 0) {
            cell.withAdvice();
        }
        List<String> addresses = cell.addresses(8);
        addresses.forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        List<String> jobs = new ArrayList<>();
        for (int round = 0; round < 150; round++) {
            cell.delayedOrderShare = 0.08;
            cell.lostResponseShare = 0.03;
            cell.workMillis(300 + cell.random.nextInt(4_000));
            if (cell.random.nextInt(4) == 0) {
                String address = addresses.get(cell.random.nextInt(addresses.size()));
                cell.startAgain(cell.byAddress.get(address), cell.random.nextInt(1_500));
            }
            if (cell.random.nextInt(40) == 0) {
                cell.changeLeader();
            }
            String job = "job" + round;
            cell.submit(cell.job(job, 1 + cell.random.nextInt(3), SMALL, cell.random.nextInt(4) == 0));
            jobs.add(job);
            cell.run(cell.random.nextInt(200));
        }
        cell.delayedOrderShare = 0;
        cell.lostResponseShare = 0;
        cell.run(60_000);
        assertEquals(String.join("; ", cell.violations), "", "seed " + seed);
        jobs.forEach(job -> assertTrue(
                cell.phase(job) == JobPhase.COMPLETED || mostCrashes(job) >= CRASHES_OF_LIMITED_TASK,
                "seed " + seed + ", " + job + ": " + cell.phase(job)));
    }

    private int mostCrashes(String job) {
        return cell.table
                .job(job)
                .orElseThrow()
                .tasks()
                .mapToInt(JobTask::suspicions)
                .max()
                .orElse(0);
    }
}
