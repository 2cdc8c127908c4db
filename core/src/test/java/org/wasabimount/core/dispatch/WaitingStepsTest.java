package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.AdviceCost;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

/** Tests that steps that can't be placed do not keep others waiting. */
public class WaitingStepsTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity LARGE = new Capacity(10_000, 20_000, 0);
    private static final Capacity WHOLE = new Capacity(30_000, 20_000, 0);

    private static SimulatedCell cellWithSlowAdvice(int workers, int eligiblePercent, int callers) {
        SimulatedCell cell = new SimulatedCell(7);
        cell.putQueues(List.of(cell.queue().toBuilder()
                .setAdvice(AdviceCost.newBuilder()
                        .setCallMillis(559)
                        .setWorkerMillis(8.06)
                        .setValidMillis(2_500))
                .build()));
        cell.eligiblePercents.put("queue", eligiblePercent);
        cell.addresses(workers).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.dispatcher.callers(
                IntStream.range(0, callers).mapToObj(number -> "vm" + number).toList());
        cell.run(1_000);
        return cell;
    }

    private static JobSpec inQueue(Queue queue, JobSpec job) {
        return job.toBuilder().setQueue(queue.getName()).build();
    }

    private static JobSpec longRunning(JobSpec job) {
        return job.toBuilder()
                .setSteps(0, job.getSteps(0).toBuilder().setLongRunning(true))
                .build();
    }

    /** Guards against gangs that ask again and again for the same occupied workers while others are idle. */
    @Test
    public void gangAsksForIdleWorkersWhileKnownOnesAreOccupied() {
        SimulatedCell cell = cellWithSlowAdvice(246, 70, 32);
        Queue open =
                cell.queue().toBuilder().setName("open").setPathPrefix("/o/").build();
        cell.putQueues(List.of(cell.queue(), open));
        cell.eligiblePercents.put("open", 100);
        cell.byAddress.values().forEach(worker -> worker.slowdownFactor = 1_000);
        cell.submit(inQueue(open, longRunning(cell.job("lasting", 100, WHOLE, false))), open);
        cell.submit(inQueue(open, longRunning(cell.job("other", 146, WHOLE, false))), open);
        cell.run(15_000);
        cell.submit(cell.job("gang1", 20, LARGE, true));
        cell.run(4_000);
        cell.cancel("other");
        cell.run(40_000);
        assertEquals(cell.phase("gang1"), JobPhase.COMPLETED);
        assertEquals(cell.violations, List.of());
    }

    /** Guards against late jobs that are never considered because many steps ahead of them can't be placed. */
    @Test
    public void lateJobStartsBehindJobsOfPoolWithoutWorkers() {
        SimulatedCell cell = new SimulatedCell(7);
        Queue other = cell.queue().toBuilder()
                .setName("other")
                .setPathPrefix("/o/")
                .setPool("other")
                .build();
        cell.putQueues(List.of(cell.queue(), other));
        cell.addresses(4).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(1_000);
        cell.workMillis(8_000);
        cell.submit(cell.job("busy", 12, LARGE, false));
        cell.run(100);
        cell.workMillis(700);
        IntStream.range(0, 120)
                .forEach(number -> cell.submit(inQueue(other, cell.job("other" + number, 1, LARGE, false)), other));
        cell.run(10);
        cell.submit(cell.job("job1", 1, LARGE, false));
        cell.run(60_000);
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
        assertEquals(cell.violations, List.of());
    }

    /** Guards against refused advice calls that are sent again at once and leave no VM to other steps. */
    @Test
    public void stepGetsAdviceBehindStepsWhoseCallsAreRefused() {
        SimulatedCell cell = cellWithSlowAdvice(246, 70, 4);
        cell.refusedJobs.addAll(
                IntStream.range(0, 100).mapToObj(number -> "bad" + number).toList());
        cell.refusedJobs.forEach(job -> cell.submit(cell.job(job, 3, LARGE, false)));
        cell.run(10);
        cell.submit(cell.job("job1", 3, LARGE, false));
        cell.run(60_000);
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
        assertEquals(cell.violations, List.of());
    }

    /** Guards against gangs on more workers than one call may name, whose first tickets expire before the last arrive. */
    @Test
    public void gangStartsOnMoreWorkersThanOneCallMayName() {
        SimulatedCell cell = cellWithSlowAdvice(246, 70, 32);
        cell.submit(cell.job("gang1", 120, WHOLE, true));
        cell.run(40_000);
        assertEquals(cell.phase("gang1"), JobPhase.COMPLETED);
        assertEquals(cell.violations, List.of());
    }

    /** Guards against jobs without room because a gang reserves workers whose tasks never end. */
    @Test
    public void lateJobStartsBesideGangsThatWaitForLastingTasks() {
        SimulatedCell cell = new SimulatedCell(7);
        cell.addresses(20).forEach(address -> cell.worker("w" + address, address, WORKER).slowdownFactor = 1_000);
        cell.run(1_000);
        cell.submit(longRunning(cell.job("lasting", 20, new Capacity(18_000, 20_000, 0), false)));
        cell.run(1_000);
        IntStream.range(0, 125).forEach(number -> cell.submit(cell.job("gang" + number, 20, WHOLE, true)));
        cell.run(5);
        cell.submit(cell.job("job1", 20, LARGE, false));
        cell.run(30_000);
        assertEquals(cell.phase("job1"), JobPhase.ACTIVE);
        assertEquals(cell.violations, List.of());
    }
}
