package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

/** Workers of three speeds, as many of each, at a load below their capacity. */
public class UnlikeWorkersTest {

    private static final double[] UNLIKE = {1 / 0.6, 1, 1 / 1.6};
    private static final double[] EQUAL = {1, 1, 1};

    /** Difference between two loads that is noise; the users' own bound for scores. */
    private static final double MAX_NOISE = 0.03;

    private static final int WORKERS = 60;

    /** Least additional share of the jobs in time: a tenth of what a third of the workers would have to gain. */
    private static final double MIN_GAIN = 0.03;

    private static final long LEARNING_MILLIS = 10_000;
    private static final long LOAD_MILLIS = 25_000;

    /** Guards against urgent jobs that come late since slow workers take as many of their tasks as fast ones. */
    @Test
    public void servesMoreJobsInTimeThanWithoutPreference() {
        double preferred = shareInTime(UNLIKE, true);
        double baseline = shareInTime(UNLIKE, false);
        String figures = String.format(Locale.ROOT, "in time %.3f, without preference %.3f", preferred, baseline);
        assertTrue(preferred - baseline > MIN_GAIN, figures);
    }

    /** Guards against placements that change with what was learnt of workers that are equal. */
    @Test
    public void servesEqualWorkersAsBefore() {
        double preferred = shareInTime(EQUAL, true);
        double baseline = shareInTime(EQUAL, false);
        assertEquals(preferred, baseline, MAX_NOISE, "share of the jobs in time");
    }

    private static double shareInTime(double[] slowdowns, boolean preferred) {
        return LongStream.range(1, 4)
                .mapToDouble(seed -> shareInTime(seed, slowdowns, preferred))
                .average()
                .orElseThrow();
    }

    private static double shareInTime(long seed, double[] slowdowns, boolean preferred) {
        DeploymentLoad load = new DeploymentLoad(
                seed,
                DeploymentLoad.Deployment.PANEL_VARIED,
                WORKERS,
                0.75 * WORKERS / DeploymentLoad.Deployment.PANEL_VARIED.workers);
        load.cell.gangsSlowDown = true;
        List<SimulatedWorker> workers = List.copyOf(load.cell.byAddress.values());
        for (int number = 0; number < workers.size(); number++) {
            workers.get(number).slowdownFactor = slowdowns[number % slowdowns.length];
        }
        if (!preferred) {
            load.cell.dispatcher.prefer(WorkerPreference.NONE);
        }
        load.run(LEARNING_MILLIS + LOAD_MILLIS);
        load.cell.run(LEARNING_MILLIS);
        assertEquals(load.cell.violations, List.of());
        return load.completedInTime() / (double) (load.accepted.size() + load.refused);
    }
}
