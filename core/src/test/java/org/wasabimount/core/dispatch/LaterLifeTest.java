package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /** Time in which a task is placed and started while a worker is free. */
    private static final long AT_ONCE_MILLIS = 100;

    /** Time after an order in which the lease that it carries is over, on a clock that may be 2% slow, with a call. */
    private static final long LONGEST_LEASE_MILLIS = 6_500;

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
    @Test
    public void lateStartIsAwaitedInLifeThatIsCutOff() {
        cell.checksConnections = true;
        SimulatedWorker later = cell.startAgain(free, 10_000);
        cell.lateStartMillis.put(free.address, LATE_MILLIS + 5_000);
        cell.workMillis(WORK_MILLIS);
        cell.submit(cell.job("job", 1, LARGE, false));
        cell.run(100);
        cell.disconnectedAddresses.add(later.address);
        cell.run(END_MILLIS);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job"), JobPhase.COMPLETED);
        assertTrue(cell.startsWithheldFromLaterLife > 0, "no start was meant for the earlier life");
    }

    /** Guards against a wait for the lease of a life that is known to be over: its task may run elsewhere at once. */
    @Test
    public void startWithheldFromLaterLifeIsPlacedElsewhereAtOnce() {
        cell.checksConnections = true;
        cell.worker("third", "10.0.1.0:80", WORKER);
        cell.run(300);
        cell.startAgain(free, 10_000);
        int jobs = 0;
        while (cell.startsWithheldFromLaterLife == 0 && jobs < 50) {
            cell.submit(cell.job("job" + ++jobs, 1, SMALL, false));
            cell.run(20);
        }
        assertTrue(cell.startsWithheldFromLaterLife > 0, "no start was meant for the earlier life");
        assertTrue(millisUntilStarts("job" + jobs, 1) <= AT_ONCE_MILLIS);
        cell.run(END_MILLIS);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job" + jobs), JobPhase.COMPLETED);
    }

    /**
     * Guards against a task that runs twice: a renewal that was meant for the earlier life extends the lease of the later one,
     * which is cut off, beyond what the leader has granted it.
     */
    @Test
    public void leaseOfLaterLifeIsNotExtendedByLateRenewal() {
        cell.checksConnections = true;
        cell.startAgain(free, NOTICED_MILLIS + 400);
        cell.lateRenewalMillis.put(free.address, 2 * LATE_MILLIS);
        cell.run(NOTICED_MILLIS);
        cell.lateRenewalMillis.clear();
        cell.run(FIRST_WORK_MILLIS);
        cell.workMillis(2 * WORK_MILLIS);
        cell.submit(cell.job("first", 1, LARGE, false));
        cell.submit(cell.job("second", 1, LARGE, false));
        cell.run(LATE_MILLIS);
        assertEquals(cell.starts.getOrDefault("first", 0) + cell.starts.getOrDefault("second", 0), 2);
        cell.disconnectedAddresses.add(free.address);
        cell.worker("third", "10.0.1.0:80", WORKER);
        cell.run(END_MILLIS);
        assertEquals(String.join("; ", cell.violations), "");
        assertTrue(cell.renewalsWithheldFromLaterLife > 0, "no renewal was meant for the earlier life");
    }

    @DataProvider
    public Object[][] leaders() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against a start elsewhere that is late because a worker that is lost for good is taken for a later life. */
    @Test(dataProvider = "leaders")
    public void taskOfWorkerLostForGoodRunsElsewhereOnceItsLeaseIsOver(boolean leaderChanges) {
        cell.checksConnections = true;
        cell.lateStartMillis.put(free.address, LATE_MILLIS);
        cell.submit(cell.job("job", 1, LARGE, false));
        cell.run(100);
        free.kill();
        long leaderMillis = 0;
        if (leaderChanges) {
            cell.run(300);
            leaderMillis = 400;
            cell.changeLeader();
        }
        long elsewhereMillis = 100 + leaderMillis + millisUntilStarts("job", 1);
        assertTrue(elsewhereMillis <= leaderMillis + LONGEST_LEASE_MILLIS, "elsewhere after " + elsewhereMillis);
        assertEquals(cell.violations, List.of());
    }

    private long millisUntilStarts(String job, int count) {
        long fromMillis = cell.nowMillis();
        while (cell.starts.getOrDefault(job, 0) < count && cell.nowMillis() < fromMillis + END_MILLIS) {
            cell.run(cell.stepMillis);
        }
        return cell.nowMillis() - fromMillis;
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

    /**
     * Draws workers that start again under their ids and are cut off soon afterwards, for longer than their leases, beside
     * late orders, lost responses, gangs, cancelled jobs and changes of leader.
     */
    @Test(dataProvider = "seeds")
    public void noTaskRunsTwiceWhileLaterLivesAreCutOff(long seed) {
        cell = new SimulatedCell(seed);
        cell.checksConnections = true;
        List<String> addresses = cell.addresses(8);
        addresses.forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        Map<String, Long> cutUntilMillis = new HashMap<>();
        Set<String> jobs = new LinkedHashSet<>();
        for (int round = 0; round < 200; round++) {
            cell.delayedOrderShare = 0.2;
            cell.lostResponseShare = 0.03;
            cell.workMillis(300 + cell.random.nextInt(10_000));
            String address = addresses.get(cell.random.nextInt(addresses.size()));
            boolean cut =
                    cutUntilMillis.size() < 3 && !cutUntilMillis.containsKey(address) && cell.random.nextInt(4) == 0;
            if (cut) {
                cell.startAgain(cell.byAddress.get(address), 300 + cell.random.nextInt(1_200));
            }
            String job = "job" + round;
            cell.submit(cell.job(job, 1 + cell.random.nextInt(6), SMALL, cell.random.nextInt(4) == 0));
            cell.run(cell.random.nextInt(300));
            if (cut) {
                cell.disconnectedAddresses.add(address);
                cutUntilMillis.put(address, cell.nowMillis() + 6_000 + cell.random.nextInt(6_000));
            }
            if (cell.random.nextInt(20) == 0) {
                cell.cancel(job);
            } else {
                jobs.add(job);
            }
            if (cell.random.nextInt(40) == 0) {
                cell.changeLeader();
            }
            cutUntilMillis.values().removeIf(untilMillis -> untilMillis <= cell.nowMillis());
            cell.disconnectedAddresses.retainAll(cutUntilMillis.keySet());
        }
        cell.disconnectedAddresses.clear();
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
