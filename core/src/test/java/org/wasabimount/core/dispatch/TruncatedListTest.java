package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;

/** Workers list at most 500 run ends at a time. */
public class TruncatedListTest {

    private static final int TASKS = 1_600;
    private static final Capacity TASK = new Capacity(40, 10, 0);

    @Test
    public void runsTaskOnceWhenMoreRunsEndThanOneListContains() {
        SimulatedCell cell = new SimulatedCell(7);
        String address = cell.addresses(1).get(0);
        cell.worker("w", address, new Capacity(TASKS * TASK.cpuMillis(), 128_000, 0));
        cell.run(300);
        cell.submit(cell.job("job1", TASKS, TASK, false));
        cell.run(600);
        // All tasks end while the worker is cut off, and are listed when it is reachable again.
        cell.disconnectedAddresses.add(address);
        cell.run(2_000);
        cell.disconnectedAddresses.clear();
        cell.run(10_000);
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
        assertEquals(cell.starts.get("job1"), TASKS);
        assertEquals(cell.violations, List.of());
    }
}
