package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;

/** Tests that no start brings a worker over its capacity after the capacity has shrunk. */
public class ChangingCapacityTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity SHRUNK = new Capacity(8_000, 32_000, 0);
    private static final Capacity SMALL = new Capacity(2_000, 4_000, 0);
    private static final Capacity LARGE = new Capacity(10_000, 20_000, 0);
    private static final int WORKERS = 6;
    private static final long SETTLE_MILLIS = 300;

    private static SimulatedCell cell(long seed) {
        SimulatedCell cell = new SimulatedCell(seed);
        cell.addresses(WORKERS).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(SETTLE_MILLIS);
        return cell;
    }

    private static void resizeAll(SimulatedCell cell, Capacity capacity) {
        cell.byAddress.values().forEach(worker -> worker.resize(capacity));
    }

    /** Returns seeds, as many as {@code wasabimount.fuzz.seeds} says. */
    @DataProvider
    public Object[][] seeds() {
        long count = Long.getLong("wasabimount.fuzz.seeds", 6);
        return LongStream.rangeClosed(1, count)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    private static void submitJobs(SimulatedCell cell, String prefix, int count, long pauseMillis) {
        IntStream.range(0, count).forEach(number -> {
            cell.submit(cell.job(prefix + number, 6, SMALL, number % 5 == 4));
            cell.run(pauseMillis);
        });
    }

    private static void assertCompleted(SimulatedCell cell, String prefix, int count) {
        assertEquals(String.join("; ", cell.violations), "");
        IntStream.range(0, count)
                .forEach(number -> assertEquals(cell.phase(prefix + number), JobPhase.COMPLETED, prefix + number));
    }

    @Test(dataProvider = "seeds")
    public void startsFitAfterCapacityHasShrunk(long seed) {
        SimulatedCell cell = cell(seed);
        submitJobs(cell, "before", 30, 40);
        resizeAll(cell, SHRUNK);
        submitJobs(cell, "after", 60, 100);
        resizeAll(cell, WORKER);
        cell.run(30_000);
        assertCompleted(cell, "before", 30);
        assertCompleted(cell, "after", 60);
    }

    /** Guards against an announcement that arrives after a later one and restores the capacity that it names. */
    @Test(dataProvider = "seeds")
    public void overtakenAnnouncementDoesNotRestoreCapacity(long seed) {
        SimulatedCell cell = cell(seed);
        cell.delayedAnnouncementShare = 0.5;
        IntStream.range(0, 6).forEach(round -> {
            resizeAll(cell, round % 2 == 0 ? SHRUNK : WORKER);
            submitJobs(cell, "round" + round + "-", 20, 400);
        });
        cell.delayedAnnouncementShare = 0;
        cell.run(30_000);
        IntStream.range(0, 6).forEach(round -> assertCompleted(cell, "round" + round + "-", 20));
    }

    /** Guards against a leader that believes the capacities in its state, which may have changed while nobody led. */
    @Test(dataProvider = "seeds")
    public void newLeaderWaitsForCapacitiesThatMayHaveShrunk(long seed) {
        SimulatedCell cell = cell(seed);
        submitJobs(cell, "before", 5, 40);
        cell.run(3_000);
        cell.leaderSuspended = true;
        resizeAll(cell, SHRUNK);
        submitJobs(cell, "meanwhile", 20, 1);
        cell.run(12_000);
        cell.leaderSuspended = false;
        cell.changeLeader();
        submitJobs(cell, "after", 20, 20);
        cell.run(30_000);
        assertCompleted(cell, "before", 5);
        assertCompleted(cell, "meanwhile", 20);
        assertCompleted(cell, "after", 20);
    }

    /** Guards against starts that were decided before a worker fell silent and are sent when it is back, smaller. */
    @Test(dataProvider = "seeds")
    public void startsDecidedBeforeCapacityShrankAreDecidedAgain(long seed) {
        SimulatedCell cell = cell(seed);
        cell.lostResponseShare = 0.2;
        List<String> addresses = cell.addresses(WORKERS);
        for (int round = 0; round < 14; round++) {
            submitJobs(cell, "round" + round + "-", 6, 10);
            String address = addresses.get(cell.random.nextInt(WORKERS));
            cell.disconnectedAddresses.add(address);
            cell.byAddress.get(address).resize(round % 3 == 2 ? WORKER : SHRUNK);
            cell.run(1_000 + cell.random.nextInt(6_000));
            cell.disconnectedAddresses.clear();
        }
        cell.lostResponseShare = 0;
        resizeAll(cell, WORKER);
        cell.run(30_000);
        IntStream.range(0, 14).forEach(round -> assertCompleted(cell, "round" + round + "-", 6));
    }

    /** Guards against a gang that waits for the room it has reserved on a worker that has become too small for it. */
    @Test
    public void gangStartsElsewhereAfterItsWorkerHasShrunk() {
        SimulatedCell cell = cell(3);
        cell.workMillis(8_000);
        IntStream.range(0, WORKERS).forEach(number -> cell.submit(cell.job("filler" + number, 3, LARGE, false)));
        cell.run(200);
        cell.workMillis(700);
        cell.submit(cell.job("gang", 4, LARGE, true));
        cell.run(1_000);
        List<String> addresses = cell.addresses(WORKERS);
        addresses
                .subList(0, WORKERS - 2)
                .forEach(address -> cell.byAddress.get(address).resize(SHRUNK));
        cell.run(30_000);
        assertEquals(String.join("; ", cell.violations), "");
        assertEquals(cell.phase("gang"), JobPhase.COMPLETED);
    }

    @Test
    public void workerWithoutCapacityGetsNoTasksUntilItGrowsAgain() {
        SimulatedCell cell = cell(5);
        resizeAll(cell, Capacity.NONE);
        cell.run(5_000);
        submitJobs(cell, "job", 10, 20);
        cell.run(5_000);
        assertEquals(cell.starts.size(), 0);
        resizeAll(cell, WORKER);
        cell.run(30_000);
        assertCompleted(cell, "job", 10);
    }
}
