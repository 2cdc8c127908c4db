package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;

/** Tests which life of a worker a notice of leaving ends; the notice names the worker only, and may arrive late. */
public class LeavingWorkerTest {

    private static final Capacity WORKER = new Capacity(8_000, 16_000, 0);
    private static final Capacity LARGE = new Capacity(7_000, 7_000, 0);
    private static final long ANNOUNCED_MILLIS = 1_700;

    /** After the end of the test. */
    private static final long NEVER_MILLIS = 600_000;

    private SimulatedCell cell;
    private SimulatedWorker leaving;

    @BeforeMethod
    public void startTwoWorkers() {
        cell = new SimulatedCell(7);
        cell.workMillis(8_000);
        cell.addresses(2).forEach(address -> cell.worker("w" + address, address, WORKER));
        leaving = cell.byAddress.values().iterator().next();
        cell.run(ANNOUNCED_MILLIS);
    }

    private void drain(SimulatedWorker worker) {
        worker.draining = true;
        cell.run(ANNOUNCED_MILLIS);
    }

    /** Starts the next life of the worker, on which one of two tasks runs. */
    private SimulatedWorker nextLifeAtWork() {
        SimulatedWorker next = cell.worker(leaving.id, leaving.address, WORKER);
        cell.run(ANNOUNCED_MILLIS);
        cell.submit(cell.job("job1", 2, LARGE, false));
        cell.run(1_000);
        assertEquals(next.activeRuns.size(), 1);
        return next;
    }

    private void assertCompletedWithoutSecondRun() {
        cell.run(15_000);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
        assertEquals(cell.starts.get("job1"), 2);
    }

    /** Guards against a leave that a frozen node passes on late and that ends the next life, whose tasks then run twice. */
    @Test
    public void lateLeaveDoesNotEndNextLife() {
        drain(leaving);
        cell.leave(leaving.id);
        leaving.kill();
        nextLifeAtWork();
        cell.leave(leaving.id);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against the same while the next life drains, too. */
    @Test
    public void lateLeaveDoesNotEndNextLifeThatDrains() {
        drain(leaving);
        cell.leave(leaving.id);
        leaving.kill();
        SimulatedWorker next = nextLifeAtWork();
        drain(next);
        cell.leave(leaving.id);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against a late leave that takes effect at the first call that a cut network leaves unanswered. */
    @Test
    public void lateLeaveIsForgottenOnceNextLifeHasAnswered() {
        drain(leaving);
        cell.leave(leaving.id);
        leaving.kill();
        SimulatedWorker next = nextLifeAtWork();
        drain(next);
        cell.leave(leaving.id);
        cell.run(2_500);
        cell.disconnectedAddresses.add(next.address);
        cell.run(1_500);
        cell.disconnectedAddresses.remove(next.address);
        assertCompletedWithoutSecondRun();
    }

    /** Guards against tasks of a worker that has left and that wait until its lease expires. */
    @Test
    public void tasksOfWorkerThatLeftRunElsewhereBeforeItsLeaseExpires() {
        cell.submit(cell.job("job1", 2, LARGE, false));
        cell.run(1_000);
        assertEquals(leaving.activeRuns.size(), 1);
        cell.worker("third", "third:1", WORKER);
        drain(leaving);
        cell.leave(leaving.id);
        leaving.kill();
        cell.run(SimulatedCell.LEASE_MILLIS / 2);
        assertEquals(cell.byAddress.get("third:1").activeRuns.size(), 1);
        assertEquals(cell.violations, List.of());
    }

    /** A worker that leaves without an announcement is treated like one that crashes. */
    @Test
    public void tasksOfWorkerThatNeverDrainedRunElsewhereOnceItsLeaseExpires() {
        cell.submit(cell.job("job1", 2, LARGE, false));
        cell.run(1_000);
        cell.worker("third", "third:1", WORKER);
        cell.run(ANNOUNCED_MILLIS);
        cell.leave(leaving.id);
        leaving.kill();
        cell.run(2 * SimulatedCell.LEASE_MILLIS);
        assertTrue(cell.starts.get("job1") == 3, cell.starts + " starts");
        assertEquals(cell.violations, List.of());
    }

    /**
     * Guards against a start that is repeated after its worker has announced that it drains: it was carried out later than the
     * contract allows.
     */
    @Test
    public void startIsNotRepeatedOnDrainingWorker() {
        cell.lateStartMillis.put(leaving.address, NEVER_MILLIS);
        cell.submit(cell.job("job1", 2, LARGE, false));
        cell.run(100);
        leaving.draining = true;
        cell.run(ANNOUNCED_MILLIS);
        cell.lateStartMillis.clear();
        cell.run(ANNOUNCED_MILLIS);
        assertTrue(leaving.activeRuns.isEmpty(), "a draining worker has been given " + leaving.activeRuns.keySet());
        // The tasks run one after the other on the worker that is left.
        cell.run(15_000);
        assertCompletedWithoutSecondRun();
    }
}
