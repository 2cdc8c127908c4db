package org.wasabimount.bench.placement;

import org.HdrHistogram.Histogram;
import org.wasabimount.bench.BenchOptions;
import org.wasabimount.core.placement.PlacementPolicy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Fills a cell, keeps it busy, then loses workers, a rack and a domain; beside it, packs a batch into an empty cell.
 *
 * <p>Options: {@code --workers}, {@code --tasks}, {@code --starts} per second, {@code --seconds} of virtual time.
 */
public final class PlacementBench {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MICROS = 1_000.0;

    private final BenchOptions options;

    /**
     * Creates the experiment.
     *
     * @param options its size
     */
    public PlacementBench(BenchOptions options) {
        this.options = options;
    }

    /**
     * Runs the experiment with our policy and each baseline.
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
        PlacementDriver driver = new PlacementDriver(policy, workers, tasks, starts);
        driver.fill();
        driver.steady(seconds);
        driver.lose(seconds);
        Histogram decisions = driver.decisionNanos();
        ObjectNode json = MAPPER.createObjectNode()
                .put("workers", workers)
                .put("tasks", tasks)
                .put("startsPerSecond", starts)
                .put("decisions", decisions.getTotalCount())
                .put("decisionsPerSecond", Math.round(1e9 / decisions.getMean()))
                .put("decisionP50Micros", decisions.getValueAtPercentile(50) / MICROS)
                .put("decisionP99Micros", decisions.getValueAtPercentile(99) / MICROS)
                .put("decisionP999Micros", decisions.getValueAtPercentile(99.9) / MICROS)
                .put("urgentWaitP99Millis", driver.waitMillis(PlacementDriver.Work.URGENT))
                .put("serviceWaitP99Millis", driver.waitMillis(PlacementDriver.Work.SERVICE))
                .put("batchWaitP99Millis", driver.waitMillis(PlacementDriver.Work.BATCH))
                .put("jobWaitP99Millis", driver.waitMillis(PlacementDriver.Work.JOB))
                .put("jobWaitMaxMillis", driver.longestJobWaitMillis())
                .put("overcommitted", driver.overcommitted())
                .put("halfStarted", driver.halfStarted())
                .put("startsLostPerBadWorker", driver.startsLostPerBadWorker());
        PackingMeasure packing = PackingMeasure.run(policy, workers);
        json.put("packingOverBound", packing.overBound())
                .put("packingWorkersUsed", packing.workersUsed())
                .put("packingLowerBound", packing.lowerBound());
        System.out.println(policy + " " + json);
        return json;
    }
}
