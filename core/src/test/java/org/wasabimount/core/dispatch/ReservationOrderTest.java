package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;

/** Tests that a gang starts once its reserved room is free, whatever later gangs have reserved on the same workers. */
public class ReservationOrderTest {

    private static final Capacity WORKER = new Capacity(64_000, 128_000, 0);
    private static final Capacity HALF = new Capacity(32_000, 32_000, 0);
    private static final Capacity WHOLE = new Capacity(64_000, 32_000, 0);

    private final SimulatedCell cell = new SimulatedCell(7);

    /** Guards against a gang that waits for a run it does not need, because a later gang has reserved the room behind it. */
    @Test
    public void gangStartsInItsReservedRoomAlthoughLaterOneReservedBehindRun() {
        cell.putQueues(List.of(cell.queue().toBuilder().setPriority(1).build()));
        cell.addresses(2).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        cell.workMillis(60_000);
        cell.submit(cell.job("long", 1, HALF, false));
        cell.run(500);
        cell.workMillis(3_000);
        cell.submit(cell.job("short", 1, WHOLE, false));
        cell.run(500);
        cell.submit(cell.job("first", 3, HALF, true));
        cell.run(300);
        cell.submit(cell.job("second", 1, HALF, true));
        cell.run(6_000);
        assertEquals(cell.violations, List.of());
        assertTrue(cell.table.job("first").orElseThrow().started(), "not started");
    }
}
