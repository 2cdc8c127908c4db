package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.protocol.job.JobPhase;

/** Tests the attempts of jobs on workers that fail what they start, with gangs of the users' sites. */
public class FailingWorkersTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity REORDER = new Capacity(9_000, 19_000, 0);
    private static final Capacity SCAN = new Capacity(2_800, 8_000, 0);
    private static final int WORKERS = 33;
    private static final int FAILING_WORKERS = 3;
    private static final int REORDER_ATTEMPTS = 4;
    private static final int SCAN_ATTEMPTS = 3;
    private static final long FAILING_MILLIS = 6_500;
    private static final long SOUND_MILLIS = 2_500;
    private static final int DISTURBANCES = 3;

    private static SimulatedCell cell(long seed) {
        SimulatedCell cell = new SimulatedCell(seed);
        cell.failureBreaksGang = false;
        cell.addresses(WORKERS).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        return cell;
    }

    private static void submit(SimulatedCell cell, String job, int count, Capacity size, int maxAttempts) {
        cell.submit(
                cell.job(job, count, size, true),
                cell.queue().toBuilder().setMaxAttempts(maxAttempts).build());
    }

    private static void assertFailedOnlyAfterLastAttempt(SimulatedCell cell, String when) {
        List<String> early = cell.table.jobs().stream()
                .filter(job -> job.phase() == JobPhase.BROKEN_DOWN && !cell.attemptsUsedUp(job))
                .map(Job::id)
                .toList();
        assertEquals(early, List.of(), when + ": jobs shown as failed with attempts left");
    }

    /** Guards against a job that is shown as failed after one run of its gang, in which several workers failed its tasks. */
    @Test
    public void gangThatFailedOnSeveralWorkersRunsAgain() {
        SimulatedCell cell = cell(7);
        List<SimulatedWorker> workers = List.copyOf(cell.byAddress.values());
        workers.forEach(worker -> worker.failsAllTasks = true);
        submit(cell, "gang", 8, REORDER, 2);
        cell.run(200);
        workers.forEach(worker -> worker.failsAllTasks = false);
        cell.run(10_000);
        assertEquals(cell.phase("gang"), JobPhase.COMPLETED);
        assertEquals(cell.violations, List.of());
    }

    /** Guards against a hopeless gang that is given up before its last attempt, or never. */
    @Test
    public void gangThatFailsOnEveryWorkerUsesEachAttempt() {
        SimulatedCell cell = cell(7);
        cell.failingJobs.add("poison");
        submit(cell, "poison", 8, REORDER, REORDER_ATTEMPTS);
        cell.run(20_000);
        assertEquals(cell.phase("poison"), JobPhase.BROKEN_DOWN);
        Job job = cell.table.job("poison").orElseThrow();
        assertEquals(cell.failedAttempts(job, job.tasks(0, 0).get(0).id()), REORDER_ATTEMPTS);
    }

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("wasabimount.fuzz.first", 1);
        long count = Long.getLong("wasabimount.fuzz.seeds", 12);
        return LongStream.range(first, first + count)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** Draws workers that fail everything for a while, changes of leader, lost responses and workers that are cut off. */
    @Test(dataProvider = "seeds")
    public void jobsFailOnlyAfterTheirLastAttempt(long seed) {
        SimulatedCell cell = cell(seed);
        List<String> jobs = new ArrayList<>();
        for (int disturbance = 0; disturbance < DISTURBANCES; disturbance++) {
            List<SimulatedWorker> failing = IntStream.range(0, FAILING_WORKERS)
                    .mapToObj(drawn -> List.copyOf(cell.byAddress.values()).get(cell.random.nextInt(WORKERS)))
                    .toList();
            failing.forEach(worker -> worker.failsAllTasks = true);
            cell.lostResponseShare = 0.03;
            submitFor(cell, FAILING_MILLIS, jobs);
            failing.forEach(worker -> worker.failsAllTasks = false);
            cell.lostResponseShare = 0;
            cell.disconnectedAddresses.clear();
            submitFor(cell, SOUND_MILLIS, jobs);
        }
        cell.run(60_000);
        assertEquals(String.join("; ", cell.violations), "", "seed " + seed);
        assertFailedOnlyAfterLastAttempt(cell, "seed " + seed);
        jobs.forEach(job ->
                assertTrue(!cell.table.job(job).orElseThrow().open(), "seed " + seed + ": " + job + " has not ended"));
        cell.table.jobs().stream()
                .filter(job -> job.id().startsWith("poison"))
                .forEach(job -> assertEquals(job.phase(), JobPhase.BROKEN_DOWN, "seed " + seed + ": " + job.id()));
    }

    private static void submitFor(SimulatedCell cell, long millis, List<String> jobs) {
        for (long untilMillis = cell.nowMillis() + millis; cell.nowMillis() < untilMillis; cell.run(100)) {
            int number = jobs.size();
            boolean reorder = cell.random.nextInt(8) == 0;
            String job = (reorder && cell.random.nextInt(33) == 0 ? "poison" : "job") + number;
            if (job.startsWith("poison")) {
                cell.failingJobs.add(job);
            }
            int count = 1 + cell.random.nextInt(reorder ? 16 : 6);
            submit(cell, job, count, reorder ? REORDER : SCAN, reorder ? REORDER_ATTEMPTS : SCAN_ATTEMPTS);
            jobs.add(job);
            if (cell.random.nextInt(40) == 0) {
                cell.changeLeader();
            }
            if (cell.random.nextInt(60) == 0) {
                cell.disconnectedAddresses.add(cell.addresses(WORKERS).get(cell.random.nextInt(WORKERS)));
            }
        }
    }
}
