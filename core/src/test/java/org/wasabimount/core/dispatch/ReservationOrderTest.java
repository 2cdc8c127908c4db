package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.JobSpec;

/** Tests that gangs start when there is room for them, whatever is reserved or runs on other workers. */
public class ReservationOrderTest {

    private static final Capacity WORKER = new Capacity(64_000, 128_000, 0);
    private static final Capacity HALF = new Capacity(32_000, 32_000, 0);
    private static final Capacity WHOLE = new Capacity(64_000, 32_000, 0);

    private SimulatedCell cell;

    @BeforeMethod
    public void startCell() {
        cell = new SimulatedCell(7);
        cell.putQueues(List.of(cell.queue().toBuilder().setPriority(1).build()));
    }

    /** Guards against a gang that waits for a run it does not need, because a later gang has reserved the room behind it. */
    @Test(groups = "known-red")
    public void gangStartsInItsReservedRoomAlthoughLaterOneReservedBehindRun() {
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

    /** Guards against a colocated gang that waits for one long run on each rack although most workers are idle. */
    @Test(groups = "known-red")
    public void colocatedGangStartsAlthoughEachRackHasAnOccupiedWorker() {
        List<SimulatedWorker> workers = cell.addresses(30).stream()
                .map(address -> cell.worker("w" + address, address, WORKER))
                .toList();
        IntStream.range(0, 30).forEach(number -> workers.get(number).rack = "r" + number % 3);
        IntStream.range(0, 3).forEach(number -> workers.get(number).label = "b");
        cell.run(1_500);
        cell.workMillis(60_000);
        JobSpec lasting = cell.job("long", 3, WHOLE, false);
        cell.submit(lasting.toBuilder()
                .setSteps(0, lasting.getSteps(0).toBuilder().setRequiredLabel("b"))
                .build());
        cell.run(500);
        cell.workMillis(3_000);
        JobSpec gang = cell.job("gang", 20, HALF, true);
        cell.submit(gang.toBuilder()
                .setSteps(0, gang.getSteps(0).toBuilder().setColocated(true))
                .build());
        cell.eligiblePercents.put("queue", 100);
        StalledJobs stalled = new StalledJobs(cell);
        stalled.run(15_000);
        assertEquals(cell.violations, List.of());
        assertEquals(stalled.stalled.toString(), "{}");
    }

    /** Guards against colocated gangs that never start on their reserved workers, because other racks have more room. */
    @Test(groups = "known-red")
    public void colocatedGangsStartOnTheirReservedWorkers() {
        cell = new SimulatedCell(5);
        Random random = new Random(5);
        cell.putQueues(List.of(cell.queue().toBuilder()
                .setPriority(1)
                .setAdvice(AdviceCost.newBuilder()
                        .setCallMillis(559)
                        .setWorkerMillis(8.06)
                        .setValidMillis(2_500))
                .build()));
        cell.eligiblePercents.put("queue", 60);
        List<SimulatedWorker> workers = cell.addresses(33).stream()
                .map(address -> cell.worker("w" + address, address, new Capacity(64_000, 131_072, 0)))
                .toList();
        IntStream.range(0, 33).forEach(number -> workers.get(number).rack = "r" + number % 3);
        cell.dispatcher.callers(
                IntStream.range(0, 5).mapToObj(number -> "vm" + number).toList());
        cell.run(2_500);
        StalledJobs stalled = new StalledJobs(cell);
        for (int number = 0; number < 11; number++) {
            cell.workMillis(1_500 + random.nextInt(6_000));
            Capacity size = new Capacity(4_000 + random.nextInt(26_000), 4_000 + random.nextInt(20_000), 0);
            JobSpec job = cell.job("j" + number, 1 + random.nextInt(33), size, random.nextInt(4) > 0);
            cell.submit(job.toBuilder()
                    .setSteps(0, job.getSteps(0).toBuilder().setColocated(true))
                    .build());
            stalled.run(500);
        }
        stalled.run(30_000);
        assertEquals(cell.violations, List.of());
        assertEquals(stalled.stalled.toString(), "{}");
    }
}
