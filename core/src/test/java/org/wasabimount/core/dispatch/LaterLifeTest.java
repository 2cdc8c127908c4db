package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;

/**
 * Tests starts that were meant for a worker's earlier life and are taken by the next one under the same id, which leaves
 * them unanswered and carries them out late. {@link SimulatedCell} checks that no task runs twice.
 */
public class LaterLifeTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity LARGE = new Capacity(20_000, 20_000, 0);
    private static final Capacity MEDIUM = new Capacity(12_000, 12_000, 0);
    private static final long LATE_MILLIS = 5_000;
    private static final long FIRST_WORK_MILLIS = 1_300;
    private static final long WORK_MILLIS = 9_000;
    private static final long END_MILLIS = 40_000;

    /** Time after which the leader has no answer to the renewal that the earlier life took with it. */
    private static final long NOTICED_MILLIS = 1_300;

    private SimulatedCell cell;
    private SimulatedWorker free;

    @BeforeMethod
    public void occupyOneOfTwoWorkers() {
        cell = new SimulatedCell(7);
        cell.addresses(2).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(1_000);
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

    /** Guards against capacity that stays unused: a life that has nothing to carry out is used at once. */
    @Test
    public void lifeWithoutEarlierOrdersIsUsedAtOnce() {
        SimulatedWorker later = cell.startAgain(free, 50);
        cell.run(200);
        cell.submit(cell.job("job", 1, LARGE, false));
        cell.run(100);
        assertEquals(later.activeRuns.size(), 1);
    }
}
