package org.wasabimount.bench.placement;

import java.util.List;
import java.util.Random;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.TaskState;
import org.wasabimount.core.cell.Worker;
import org.wasabimount.core.placement.PlacementPolicy;
import org.wasabimount.core.placement.Scheduler;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.TaskPhase;

/**
 * The number of workers that a mix of batches occupies when it is placed in an empty cell.
 *
 * @param workersUsed number of workers with at least one task
 * @param lowerBound lower bound of that number: the total size of all tasks divided by the size of a worker, for the
 *     dimension in which this is largest, rounded up
 */
record PackingResult(long workersUsed, long lowerBound) {

    private static final Capacity WORKER = new Capacity(32_000, 131_072, 1);
    private static final double FILLED_SHARE = 0.6;
    private static final long SEED = 7;
    private static final int MAX_ROUNDS = 100_000;

    double ratioToLowerBound() {
        return (double) workersUsed / lowerBound;
    }

    static PackingResult run(PlacementPolicy policy, int workers) {
        SimulatedCell cell = new SimulatedCell();
        cell.organisation("org", 1);
        for (int number = 0; number < workers; number++) {
            cell.worker(number, 3, WORKER);
        }
        Random random = new Random(SEED);
        Capacity sum = Capacity.NONE;
        for (int batch = 0; sum.dominantShare(WORKER.times(workers)) < FILLED_SHARE; batch++) {
            int count = 1 + random.nextInt(20);
            // Two thirds of the batches need more CPU than memory in proportion to a worker, one third the reverse.
            Capacity size = random.nextInt(3) > 0
                    ? new Capacity(1_000L + 500 * random.nextInt(8), 1_024L + 512 * random.nextInt(16), 0)
                    : new Capacity(500L + 250 * random.nextInt(4), 8_192L + 1_024 * random.nextInt(16), 0);
            cell.declare("org", ResourceKind.BATCH, "batch-" + batch, size, count, false);
            sum = sum.plus(size.times(count));
        }
        placeAll(cell, new Scheduler(policy, SEED));
        long used = cell.state().workers().stream()
                .filter(worker -> !worker.tasks().isEmpty())
                .count();
        return new PackingResult(used, (long) Math.ceil(sum.dominantShare(WORKER)));
    }

    private static void placeAll(SimulatedCell cell, Scheduler scheduler) {
        for (int round = 0;
                round < MAX_ROUNDS && !cell.state().pendingResources().isEmpty();
                round++) {
            scheduler.plan(cell.state(), cell.nowMillis(), 256).bindings().forEach(cell::bind);
            cell.advance(100);
            cell.state().workers().stream()
                    .map(Worker::tasks)
                    .flatMap(tasks -> List.copyOf(tasks).stream())
                    .filter(task -> task.state() == TaskState.BOUND)
                    .forEach(task -> cell.report(task, TaskPhase.RUNNING));
        }
    }
}
