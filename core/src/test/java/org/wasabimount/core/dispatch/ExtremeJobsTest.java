package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.JobCheck;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Step;

/**
 * Tests that no job that is accepted ends the process, whatever its fields hold: an exception in the leader's thread would
 * end every leader in turn.
 */
public class ExtremeJobsTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final long[] EXTREMES = {
        Long.MIN_VALUE, -1, 0, 1, 1_000, Integer.MAX_VALUE, Long.MAX_VALUE / 2, Long.MAX_VALUE
    };
    private static final int JOBS = 60;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 40)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void jobsWithExtremeFieldsLeaveOthersUndisturbed(long seed) {
        Random random = new Random(seed);
        SimulatedCell cell = new SimulatedCell(seed);
        if (seed % 2 == 0) {
            cell.withAdvice();
        }
        cell.addresses(6).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        for (int number = 0; number < JOBS; number++) {
            JobSpec spec = extremeJob("job" + number, random);
            boolean valid = JobCheck.check(spec).isEmpty();
            if (valid && cell.dispatcher.admit(spec, cell.queue()).isEmpty()) {
                cell.submit(spec);
            }
            cell.run(20);
        }
        cell.submit(cell.job("ordinary", 2, new Capacity(1_000, 1_000, 0), false));
        cell.run(20_000);
        assertEquals(cell.phase("ordinary"), JobPhase.COMPLETED);
    }

    private static JobSpec extremeJob(String id, Random random) {
        JobSpec.Builder spec = JobSpec.newBuilder().setId(id).setQueue("queue");
        int steps = 1 + random.nextInt(3);
        for (int number = 0; number < steps; number++) {
            Step.Builder step = Step.newBuilder()
                    .setCount(1 + random.nextInt(4))
                    .setSize(Quantity.newBuilder()
                            .setCpuMillis(extreme(random))
                            .setMemoryMegabytes(extreme(random))
                            .setAccelerators(extreme(random)))
                    .setEstimateMillis(extreme(random))
                    .setMaxPerWorker((int) extreme(random))
                    .setGang(random.nextBoolean())
                    .setColocated(random.nextBoolean())
                    .setRequiredLabel(random.nextInt(4) == 0 ? "a" : "")
                    .setDataRack(random.nextInt(4) == 0 ? "r1" : "");
            if (number > 0 && random.nextBoolean()) {
                step.addAfter(random.nextInt(number));
            }
            spec.addSteps(step);
        }
        return spec.setOccurrences(random.nextInt(3)).build();
    }

    private static long extreme(Random random) {
        return random.nextBoolean() ? 1 + random.nextInt(1_000) : EXTREMES[random.nextInt(EXTREMES.length)];
    }

    /** Guards against sizes whose multiple overflows, so that it seems to fit. */
    @Test
    public void taskLargerThanAnyWorkerStartsNowhere() {
        SimulatedCell cell = new SimulatedCell(1);
        cell.addresses(2).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
        List.of(false, true)
                .forEach(gang -> cell.submit(
                        cell.job("huge" + gang, 4, new Capacity(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, 0), gang)));
        cell.run(5_000);
        assertEquals(cell.phase("hugetrue"), JobPhase.QUEUED);
        assertEquals(cell.phase("hugefalse"), JobPhase.QUEUED);
        assertEquals(cell.violations, List.of());
    }
}
