package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.protocol.job.JobPhase;

/** Tests that a task that crashes its workers is given up before it has taken down one after the other. */
public class CrashingTaskTest {

    private static final Capacity WORKER = new Capacity(64_000, 128_000, 0);
    private static final Capacity SMALL = new Capacity(4_000, 4_000, 0);
    private static final Capacity LARGE = new Capacity(18_000, 20_000, 0);
    private static final int WORKERS = 16;

    /** Number of crashes after which a task may not be started, from the contract: three, and two starts more. */
    private static final int MOST_CRASHES = 5;

    private static final long SETTLE_MILLIS = 300;

    /** Time after which a task that crashes its workers must be given up. */
    private static final long GIVEN_UP_MILLIS = 60_000;

    private static SimulatedCell cell(long seed) {
        SimulatedCell cell = new SimulatedCell(seed);
        cell.addresses(WORKERS).forEach(address -> cell.worker("w" + address, address, WORKER));
        if (seed % 2 == 0) {
            cell.withAdvice();
        }
        cell.run(SETTLE_MILLIS);
        return cell;
    }

    private static void assertNoViolations(SimulatedCell cell) {
        assertEquals(String.join("; ", cell.violations), "");
    }

    /** Returns seeds, as many as {@code wasabimount.fuzz.seeds} says; even ones use advice. */
    @DataProvider
    public Object[][] seeds() {
        long count = Long.getLong("wasabimount.fuzz.seeds", 6);
        return LongStream.rangeClosed(1, count)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    private static void submitOthers(SimulatedCell cell, String prefix, int count, long pauseMillis) {
        IntStream.range(0, count).forEach(number -> {
            cell.submit(cell.job(prefix + number, 6, SMALL, false));
            cell.run(pauseMillis);
        });
    }

    private static void assertCompleted(SimulatedCell cell, String prefix, int count) {
        IntStream.range(0, count)
                .forEach(number -> assertEquals(cell.phase(prefix + number), JobPhase.COMPLETED, prefix + number));
    }

    /** Guards against a task that crashes worker after worker because nothing counts the crashes. */
    @Test(dataProvider = "seeds")
    public void taskThatCrashesItsWorkersIsGivenUp(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashingTasks = task -> task.job().equals("crashing") && task.index() == 1;
        cell.submit(cell.job("crashing", 4, SMALL, false));
        submitOthers(cell, "other", 100, 200);
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertCompleted(cell, "other", 100);
    }

    @Test(dataProvider = "seeds")
    public void crashesAreCountedAcrossLeaders(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashingTasks = task -> task.job().equals("crashing") && task.index() == 0;
        cell.submit(cell.job("crashing", 2, SMALL, false));
        IntStream.range(0, 60).forEach(round -> {
            cell.submit(cell.job("other" + round, 6, SMALL, false));
            cell.run(100 + cell.random.nextInt(900));
            cell.changeLeader();
        });
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertCompleted(cell, "other", 60);
    }

    /** Guards against crashes that are forgotten when the lease of the silent worker ends before the worker is back. */
    @Test(dataProvider = "seeds")
    public void crashesOfWorkersThatReturnAfterTheirLeaseAreCounted(long seed) {
        SimulatedCell cell = cell(seed);
        cell.returnMillis = seed % 3 == 0 ? 12_000 : 8_000;
        cell.returnsUnderSameId = seed % 4 < 2;
        cell.crashingTasks = task -> task.job().equals("crashing") && task.index() == 1;
        cell.submit(cell.job("crashing", 4, SMALL, false));
        submitOthers(cell, "other", 40, 200);
        cell.run(GIVEN_UP_MILLIS / 2 + 6 * cell.returnMillis);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertCompleted(cell, "other", 40);
    }

    @Test(dataProvider = "seeds")
    public void gangWithTaskThatCrashesItsWorkersIsGivenUp(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashDelayMillis = seed % 3 * 400;
        cell.workMillis(3_000);
        boolean wholeGang = seed % 4 < 2;
        cell.crashingTasks = task -> task.job().equals("crashing") && (wholeGang || task.index() == 2);
        cell.submit(cell.job("crashing", 8, LARGE, true));
        submitOthers(cell, "other", 100, 200);
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertCompleted(cell, "other", 100);
    }

    /** Guards against tasks of a gang that wait in vain for one whose worker has crashed at its start. */
    @Test(dataProvider = "seeds")
    public void restOfGangIsStoppedWhenOneCrashesItsWorkerAtTheStart(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashDelayMillis = 0;
        cell.crashingTasks = task -> task.job().equals("crashing") && task.index() == 3;
        cell.submit(cell.job("crashing", 8, LARGE, true));
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertEquals(cell.aloneEnds, 0);
    }

    /** Guards against a gang that is stopped because a worker is silent for a moment, while all its tasks work. */
    @Test(dataProvider = "seeds")
    public void gangThatWorksOutlivesSilentWorker(long seed) {
        SimulatedCell cell = cell(seed);
        cell.workMillis(8_000);
        cell.submit(cell.job("gang", 8, LARGE, true));
        cell.run(1_000 + seed % 3 * 500);
        String address = cell.byAddress.values().stream()
                .filter(worker -> !worker.activeRuns.isEmpty())
                .findFirst()
                .orElseThrow()
                .address;
        cell.disconnectedAddresses.add(address);
        cell.run(3_500);
        cell.disconnectedAddresses.clear();
        cell.run(20_000);
        assertNoViolations(cell);
        assertEquals(cell.phase("gang"), JobPhase.COMPLETED);
        assertEquals(cell.starts.get("gang"), 8, "the gang was started again");
    }

    /** Guards against blaming the tasks that were beside the one that crashed their worker. */
    @Test(dataProvider = "seeds")
    public void tasksBesideCrashingOnesAreNotGivenUp(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashingTasks = task -> task.job().startsWith("crashing");
        cell.crashDelayMillis = 300;
        IntStream.range(0, 10).forEach(number -> {
            cell.submit(cell.job("crashing" + number, 1 + number % 4, SMALL, number % 5 == 4));
            submitOthers(cell, "other" + number + "-", 10, 100);
        });
        cell.run(2 * GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        IntStream.range(0, 10).forEach(number -> {
            assertEquals(cell.phase("crashing" + number), JobPhase.BROKEN_DOWN, "crashing" + number);
            assertCompleted(cell, "other" + number + "-", 10);
        });
    }

    /** Guards against giving jobs up when workers crash for reasons of their own, also several times in a row. */
    @Test(dataProvider = "seeds")
    public void jobsOutliveWorkersThatCrashByThemselves(long seed) {
        SimulatedCell cell = cell(seed);
        cell.workMillis(3_000);
        List<String> addresses = cell.addresses(WORKERS);
        submitOthers(cell, "other", 20, 20);
        cell.submit(cell.job("gang", 12, LARGE, true));
        for (int round = 0; round < 8; round++) {
            IntStream.range(0, WORKERS / 4)
                    .mapToObj(number -> addresses.get(cell.random.nextInt(WORKERS)))
                    .forEach(address -> cell.crash(cell.byAddress.get(address)));
            cell.run(2_000);
        }
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        IntStream.range(0, 20).forEach(number -> assertCompletedOrCrashedOften(cell, "other" + number));
        assertCompletedOrCrashedOften(cell, "gang");
    }

    /** Checks a job that is innocent, but may not be started any more if five workers have crashed under one task. */
    private static void assertCompletedOrCrashedOften(SimulatedCell cell, String job) {
        int mostCrashes = cell.table
                .job(job)
                .orElseThrow()
                .tasks()
                .mapToInt(JobTask::crashes)
                .max()
                .orElse(0);
        assertTrue(
                cell.phase(job) == JobPhase.COMPLETED || mostCrashes >= MOST_CRASHES,
                job + " ended as " + cell.phase(job) + " after " + mostCrashes + " crashes");
    }

    /** Guards against jobs with many such tasks that have most workers down at the same time, again and again. */
    @Test(dataProvider = "seeds")
    public void jobWhoseTasksAllCrashTheirWorkersLeavesMostWorkersAlone(long seed) {
        SimulatedCell cell = cell(seed);
        cell.crashingTasks = task -> task.job().equals("crashing");
        cell.submit(cell.job("crashing", 40, SMALL, false));
        submitOthers(cell, "other", 50, 200);
        cell.run(GIVEN_UP_MILLIS);
        assertNoViolations(cell);
        assertEquals(cell.phase("crashing"), JobPhase.BROKEN_DOWN);
        assertCompleted(cell, "other", 50);
        assertTrue(cell.crashes <= WORKERS + 4, cell.crashes + " workers crashed");
    }
}
