package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.function.UnaryOperator;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.WorkerLife;

/** Tests that announcements by others than the announced worker leave the workers and their runs alone. */
public class ForeignAnnouncementTest {

    private static final Capacity WORKER = new Capacity(8_000, 16_000, 0);
    private static final Capacity LARGE = new Capacity(7_000, 7_000, 0);
    private static final long LATER_MILLIS = 100_000;

    private SimulatedCell cell;
    private SimulatedWorker worker;

    @BeforeMethod
    public void startJobOnTwoWorkers() {
        cell = new SimulatedCell(7);
        cell.workMillis(6_000);
        cell.addresses(3).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        cell.submit(cell.job("job1", 2, LARGE, false));
        cell.run(1_000);
        worker = cell.byAddress.values().stream()
                .filter(candidate -> !candidate.activeRuns.isEmpty())
                .findFirst()
                .orElseThrow();
    }

    @DataProvider
    public Object[][] foreignAnnouncements() {
        return new Object[][] {
            {"another id", change(life -> life.setWorker("shipper-1"))},
            {
                "another id and an unknown service",
                change(life -> life.setWorker("shipper-1").setPool("shipping"))
            },
            {"a later birth", change(life -> life.setBornMillis(life.getBornMillis() + LATER_MILLIS))},
            {"the latest birth", change(life -> life.setBornMillis(Long.MAX_VALUE))},
            {"no birth", change(life -> life.setBornMillis(0))},
            {"another address", change(life -> life.setAddress("elsewhere:1"))},
            {"another service", change(life -> life.setPool("shipping"))},
            {"another rack", change(life -> life.setRack("r9"))},
            {
                "another id that drains",
                change(life -> life.setWorker("shipper-1").setDraining(true))
            },
            {
                "a later birth and another address",
                change(life ->
                        life.setBornMillis(life.getBornMillis() + LATER_MILLIS).setAddress("elsewhere:1"))
            },
            {
                "a huge capacity",
                change(life -> life.setWorker("shipper-1")
                        .setCapacity(Quantity.newBuilder().setCpuMillis(Long.MAX_VALUE)))
            },
        };
    }

    private static UnaryOperator<WorkerLife> change(UnaryOperator<WorkerLife.Builder> changed) {
        return life -> changed.apply(life.toBuilder()).build();
    }

    private void announce(UnaryOperator<WorkerLife> change) {
        Announce own = worker.announcement();
        cell.deliver(own.toBuilder().setLife(change.apply(own.getLife())).build());
    }

    private void assertUndisturbed() {
        cell.submit(cell.job("job2", 3, LARGE, false));
        cell.run(30_000);
        assertEquals(cell.violations, List.of());
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
        assertEquals(cell.phase("job2"), JobPhase.COMPLETED);
        assertEquals(cell.starts.get("job1"), 2);
        assertEquals(cell.starts.get("job2"), 3);
    }

    /** Guards against a worker that is given up while it works, because somebody else has announced its address or id. */
    @Test(dataProvider = "foreignAnnouncements")
    public void foreignAnnouncementDoesNotEndWorker(String name, UnaryOperator<WorkerLife> change) {
        announce(change);
        cell.run(100);
        WorkerLife recorded = cell.table.worker(worker.id).orElseThrow().incarnation();
        assertEquals(recorded, worker.announcement().getLife());
        assertUndisturbed();
    }

    /** Guards against the same for as long as it is repeated, and for the leaders that follow. */
    @Test(dataProvider = "foreignAnnouncements")
    public void repeatedForeignAnnouncementsDoNotEndWorker(String name, UnaryOperator<WorkerLife> change) {
        for (int number = 0; number < 6; number++) {
            announce(change);
            cell.run(300);
            cell.changeLeader();
            cell.run(300);
        }
        assertEquals(cell.table.workers().size(), 3);
        assertUndisturbed();
    }

    /** Guards against a worker that is ended by an announcement while it can't be reached. */
    @Test(dataProvider = "foreignAnnouncements")
    public void foreignAnnouncementDoesNotEndWorkerThatIsCutOff(String name, UnaryOperator<WorkerLife> change) {
        cell.disconnectedAddresses.add(worker.address);
        cell.run(1_500);
        announce(change);
        cell.run(1_500);
        cell.disconnectedAddresses.remove(worker.address);
        assertUndisturbed();
    }
}
