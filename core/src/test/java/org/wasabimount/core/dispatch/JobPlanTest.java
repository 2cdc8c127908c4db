package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobCheck;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** Tests the planned times of jobs whose steps depend on each other. */
public class JobPlanTest {

    private static final Queue QUEUE =
            Queue.newBuilder().setObjectiveMillis(1_000).setStretch(2).build();
    private static final long ESTIMATE_MILLIS = 100;

    /** Time for which a leader holds its lease without a heartbeat, in milliseconds. */
    private static final long LEADER_LEASE_MILLIS = 400;

    private static Step step(long estimateMillis, List<Integer> after) {
        return Step.newBuilder()
                .setCount(1)
                .setSize(new Capacity(100, 100, 0).toQuantity())
                .setEstimateMillis(estimateMillis)
                .addAllAfter(after)
                .build();
    }

    private static JobPlan plan(List<Step> steps) {
        JobSpec spec = JobSpec.newBuilder().setId("job").addAllSteps(steps).build();
        return new JobPlan(new Job(spec, QUEUE, "", 0), 0, false);
    }

    @Test
    public void criticalPathFollowsLongestChainOfDependencies() {
        JobPlan plan = plan(List.of(
                step(10, List.of()),
                step(200, List.of(0)),
                step(30, List.of(0)),
                step(400, List.of(2)),
                step(5, List.of(1, 3))));
        assertEquals(
                IntStream.range(0, 5).mapToLong(plan::criticalPathMillis).toArray(),
                new long[] {10 + 30 + 400 + 5, 200 + 5, 30 + 400 + 5, 400 + 5, 5});
    }

    /** Guards against a new leader that loses its lease before its first heartbeats while it plans the open jobs. */
    @Test
    public void longestChainIsPlannedWithinLeaseOfLeader() {
        List<Step> chain = IntStream.range(0, JobCheck.MAX_TASKS)
                .mapToObj(number -> step(ESTIMATE_MILLIS, number == 0 ? List.of() : List.of(number - 1)))
                .toList();
        long startNanos = System.nanoTime();
        JobPlan plan = plan(chain);
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertEquals(plan.criticalPathMillis(0), JobCheck.MAX_TASKS * ESTIMATE_MILLIS);
        assertTrue(tookMillis < LEADER_LEASE_MILLIS, "planning took " + tookMillis + " ms");
    }
}
