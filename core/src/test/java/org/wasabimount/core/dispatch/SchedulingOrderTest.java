package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** Simulates a burst of small urgent jobs beside long jobs that fill the workers, under each scheduling order. */
public class SchedulingOrderTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final int ROUNDS = 60;
    private static final long ROUND_MILLIS = 100;
    private static final long DRAIN_MILLIS = 30_000;

    private static final Queue URGENT = Queue.newBuilder()
            .setName("urgent")
            .setPool("pool")
            .setPriority(0)
            .setStretch(1.5)
            .setObjectiveMillis(400)
            .setMaxAttempts(3)
            .build();

    private static final Queue PATIENT = Queue.newBuilder()
            .setName("patient")
            .setPool("pool")
            .setPriority(2)
            .setStretch(4)
            .setObjectiveMillis(6_000)
            .setMaxAttempts(3)
            .build();

    private static JobSpec job(String id, int count, long cpuMillis, long estimateMillis) {
        return JobSpec.newBuilder()
                .setId(id)
                .addSteps(Step.newBuilder()
                        .setCount(count)
                        .setSize(new Capacity(cpuMillis, 1_000, 0).toQuantity())
                        .setEstimateMillis(estimateMillis))
                .build();
    }

    /** Simulates the load and returns the share of a queue's jobs that completed within their objective. */
    private static double inTime(SchedulingOrder order, Queue queue) {
        SimulatedCell cell = new SimulatedCell(11, order);
        cell.addresses(4).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        for (int round = 0; round < ROUNDS; round++) {
            cell.submit(job("patient" + round, 5, 2_000, 1_300), PATIENT);
            int urgent = round >= 20 && round < 40 ? 2 : 1;
            int current = round;
            IntStream.range(0, urgent)
                    .forEach(number -> cell.submit(job("urgent" + current + "-" + number, 2, 2_500, 400), URGENT));
            cell.run(ROUND_MILLIS);
        }
        cell.run(DRAIN_MILLIS);
        assertEquals(cell.violations, List.of());
        List<Job> jobs = cell.table.jobs().stream()
                .filter(job -> job.queue().getName().equals(queue.getName()))
                .toList();
        assertTrue(jobs.stream().allMatch(job -> job.phase() == JobPhase.COMPLETED), "a job did not complete");
        long jobsInTime = jobs.stream()
                .filter(job ->
                        job.endedMillis() - job.acceptedMillis() <= JobPlan.objectiveMillis(job.spec(), job.queue()))
                .count();
        return (double) jobsInTime / jobs.size();
    }

    @Test
    public void urgentJobsAreInTimeBesideLongOnes() {
        double byArrival = inTime(SchedulingOrder.ARRIVAL, URGENT);
        double byLatestStart = inTime(SchedulingOrder.LATEST_START, URGENT);
        assertTrue(byLatestStart > 0.9, "only " + byLatestStart + " of the urgent jobs were in time");
        assertTrue(
                byLatestStart > byArrival, byLatestStart + " is not higher than " + byArrival + " in order of arrival");
    }

    @Test
    public void longJobsWithSlackStayInTime() {
        assertTrue(inTime(SchedulingOrder.LATEST_START, PATIENT) > 0.9);
    }
}
