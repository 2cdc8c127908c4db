package org.wasabimount.bench.placement;

import org.HdrHistogram.Histogram;
import org.wasabimount.bench.BenchOptions;
import org.wasabimount.core.placement.PlacementPolicy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Measures placement while a cell is filled, runs at a steady load and loses a rack and a failure domain, and measures how
 * tightly a mix of batches is packed into an empty cell.
 *
 * <p>Options: {@code --workers}, {@code --tasks}, {@code --starts} per second, {@code --seconds} of virtual time.
 */
public final class PlacementBench {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final BenchOptions options;

    /**
     * Creates the experiment.
     *
     * @param options the options from the command line
     */
    public PlacementBench(BenchOptions options) {
        this.options = options;
    }

    /**
     * Runs the experiment with the product's policy and each baseline policy.
     *
     * @return the measured values
     */
    public ObjectNode run() {
        ObjectNode result = run(PlacementPolicy.SPREAD_AND_PACK);
        ObjectNode baselines = result.putObject("baselines");
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            if (policy != PlacementPolicy.SPREAD_AND_PACK) {
                baselines.set(policy.name(), run(policy));
            }
        }
        return result;
    }

    private ObjectNode run(PlacementPolicy policy) {
        int workers = (int) options.number("workers", 30);
        int tasks = (int) options.number("tasks", workers * 19L);
        int starts = (int) options.number("starts", Math.max(4, tasks * 920L / 81_000));
        int seconds = (int) options.number("seconds", 120);
        PlacementSimulation simulation = new PlacementSimulation(policy, workers, tasks, starts);
        simulation.fill();
        simulation.runSteadyState(seconds);
        simulation.runWithLosses(seconds);
        Histogram decisions = simulation.decisionNanos();
        ObjectNode json = MAPPER.createObjectNode()
                .put("workers", workers)
                .put("tasks", tasks)
                .put("startsPerSecond", starts)
                .put("decisions", decisions.getTotalCount())
                .put("decisionsPerSecond", Math.round(1e9 / decisions.getMean()))
                .put("decisionP50Micros", decisions.getValueAtPercentile(50) / NANOS_PER_MICRO)
                .put("decisionP99Micros", decisions.getValueAtPercentile(99) / NANOS_PER_MICRO)
                .put("decisionP999Micros", decisions.getValueAtPercentile(99.9) / NANOS_PER_MICRO)
                .put("urgentWaitP99Millis", simulation.waitP99Millis(PlacementSimulation.WorkClass.URGENT))
                .put("serviceWaitP99Millis", simulation.waitP99Millis(PlacementSimulation.WorkClass.SERVICE))
                .put("batchWaitP99Millis", simulation.waitP99Millis(PlacementSimulation.WorkClass.BATCH))
                .put("jobWaitP99Millis", simulation.waitP99Millis(PlacementSimulation.WorkClass.JOB))
                .put("jobWaitMaxMillis", simulation.maxJobWaitMillis())
                .put("overcommitted", simulation.overcommittedWorkers())
                .put("halfStarted", simulation.partiallyStartedJobs())
                .put("startsLostPerBadWorker", simulation.startsLostPerBadWorker());
        PackingResult packing = PackingResult.run(policy, workers);
        json.put("packingOverBound", packing.ratioToLowerBound())
                .put("packingWorkersUsed", packing.workersUsed())
                .put("packingLowerBound", packing.lowerBound());
        System.out.println(policy + " " + json);
        return json;
    }
}
