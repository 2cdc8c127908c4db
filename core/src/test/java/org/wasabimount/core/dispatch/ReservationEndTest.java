package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;

/** Tests the causes that the dispatcher reports for reservations that end without a start, in virtual time. */
public class ReservationEndTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity HALF = new Capacity(16_000, 64_000, 0);
    private static final int WORKERS = 4;

    private final List<ReservationEnd> causes = new ArrayList<>();
    private SimulatedCell cell;
    private int withheld;

    @BeforeMethod
    public void startCell() {
        causes.clear();
        withheld = 0;
        cell = new SimulatedCell(7);
        cell.workMillis(10_000);
    }

    private void startWorkers(String prefix) {
        startWorkers(prefix, WORKERS);
    }

    private void startWorkers(String prefix, int count) {
        cell.addresses(count).forEach(address -> cell.worker(prefix + address, prefix + address, WORKER));
        cell.run(300);
    }

    /** Reserves all of the workers for a gang, behind runs that use a half of each. */
    private void reserveBehindRuns() {
        cell.dispatcher.setReservationListener(causes::add);
        cell.dispatcher.setGangWithheldListener(() -> withheld++);
        cell.submit(cell.job("running", WORKERS, HALF, false));
        cell.run(500);
        cell.submit(cell.job("gang", 2 * WORKERS, HALF, true));
        cell.run(500);
        assertEquals(causes, List.of());
    }

    /** Guards against workers that fail under reservations and can't be told from reservations that wait. */
    @Test
    public void cutOffWorkerGivesBackItsReservation() {
        startWorkers("w");
        reserveBehindRuns();
        cell.disconnectedAddresses.add(cell.byAddress.keySet().iterator().next());
        cell.run(5_000);
        assertEquals(causes.get(0), ReservationEnd.WORKER_UNUSABLE);
        assertEquals(Set.copyOf(causes), Set.of(ReservationEnd.WORKER_UNUSABLE, ReservationEnd.OTHER));
    }

    @Test
    public void shrunkWorkerGivesBackItsReservation() {
        startWorkers("w");
        reserveBehindRuns();
        cell.byAddress.values().iterator().next().resize(HALF);
        cell.run(3_000);
        assertEquals(causes.get(0), ReservationEnd.WORKER_SHRUNK);
    }

    @Test
    public void cancelledGangGivesBackItsReservation() {
        startWorkers("w");
        reserveBehindRuns();
        cell.cancel("gang");
        cell.run(100);
        assertEquals(causes, List.of(ReservationEnd.OTHER));
    }

    /** With room for all of its tasks on other workers the gang starts there, so there is room for two only. */
    @Test
    public void gangMovesToWorkersThatHaveRoomEarlier() {
        cell.withAdvice();
        cell.eligiblePercents.put("queue", 100);
        startWorkers("w");
        reserveBehindRuns();
        startWorkers("x", 1);
        cell.run(3_000);
        assertEquals(Set.copyOf(causes), Set.of(ReservationEnd.MOVED));
    }

    /** Guards against a start that counts as a reservation given back. */
    @Test
    public void startedGangGivesNothingBack() {
        startWorkers("w");
        reserveBehindRuns();
        cell.run(11_000);
        assertTrue(cell.table.job("gang").orElseThrow().started(), "not started");
        assertEquals(Set.copyOf(causes), Set.of());
        assertEquals(withheld, 0);
    }

    /** Guards against gangs that are placed and withheld again and again without a count of it. */
    @Test
    public void gangPlacedOnWorkersWhoseCapacityIsNotKnownIsWithheld() {
        startWorkers("w");
        cell.dispatcher.setGangWithheldListener(() -> withheld++);
        cell.submit(cell.job("gang", 2 * WORKERS, HALF, true));
        cell.run(5);
        cell.dispatcher.hostWasSuspended();
        cell.run(30);
        assertEquals(withheld, 1);
    }
}
