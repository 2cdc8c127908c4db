package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.JobSpec;

/** Tests the reasons that the dispatcher reports for waiting steps, and how often it reports them. */
public class WaitSamplerTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity SMALL = new Capacity(2_000, 4_000, 0);
    private static final Capacity TOO_LARGE = new Capacity(64_000, 4_000, 0);
    private static final int WORKERS = 4;

    private final List<DispatchStatus> samples = new ArrayList<>();
    private final List<Long> sampledMillis = new ArrayList<>();
    private SimulatedCell cell;

    @BeforeMethod
    public void startCellWithoutWorkers() {
        samples.clear();
        sampledMillis.clear();
        cell = new SimulatedCell(7);
        cell.dispatcher.setStatusListener(sample -> {
            samples.add(sample);
            sampledMillis.add(cell.nowMillis());
        });
    }

    private void startWorkers() {
        cell.addresses(WORKERS).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(300);
    }

    private DispatchStatus lastSample() {
        return samples.get(samples.size() - 1);
    }

    private List<DispatchStatus.LongWait> longWaits() {
        return samples.stream().flatMap(sample -> sample.longWaits().stream()).toList();
    }

    @Test
    public void placedStepsDoNotWait() {
        startWorkers();
        cell.submit(cell.job("job1", 10, SMALL, false));
        cell.run(1_500);
        assertEquals(
                lastSample(),
                new DispatchStatus(
                        WORKERS, WORKERS, Map.of(), List.of(), lastSample().idle()));
    }

    @Test
    public void stepWithoutUsableWorkerWaitsForWorkers() {
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(1_500);
        assertEquals(
                lastSample(),
                new DispatchStatus(
                        0,
                        0,
                        Map.of(WaitReason.NO_USABLE_WORKER, 1L),
                        List.of(),
                        lastSample().idle()));
    }

    @Test
    public void disconnectedWorkersAreKnownButNotUsable() {
        startWorkers();
        cell.disconnectedAddresses.addAll(cell.byAddress.keySet());
        cell.run(3_000);
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(1_500);
        assertEquals(
                lastSample(),
                new DispatchStatus(
                        WORKERS,
                        0,
                        Map.of(WaitReason.NO_USABLE_WORKER, 1L),
                        List.of(),
                        lastSample().idle()));
    }

    /**
     * Guards against refused advice calls that only the calling VMs know of (seen in dwd-panel-grown inc1): the leader
     * did not place any step, and neither its log nor its metrics told why.
     */
    @Test
    public void stepWithRefusedCallsWaitsForAdvice() {
        cell.withAdvice();
        cell.adviceFailure = Optional.of(AdviceOutcome.REFUSED);
        startWorkers();
        cell.submit(cell.job("job1", 6, SMALL, false));
        cell.run(4_500);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_ADVICE, 1L));
        assertEquals(lastSample().usableWorkers(), WORKERS);
        DispatchStatus.LongWait wait = longWaits().get(0);
        assertEquals(wait.step(), new StepId("job1", 0, 0));
        assertEquals(wait.reason(), WaitReason.NO_ADVICE);
        assertEquals(wait.tasks(), 6);
        assertEquals(wait.advice(), Optional.of(AdviceOutcome.REFUSED));
    }

    @Test
    public void stepWithUnknownLabelHasNoEligibleWorker() {
        startWorkers();
        JobSpec spec = cell.job("job1", 1, SMALL, false);
        cell.submit(spec.toBuilder()
                .setSteps(0, spec.getSteps(0).toBuilder().setRequiredLabel("absent"))
                .build());
        cell.run(1_500);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_ELIGIBLE_WORKER, 1L));
    }

    @Test
    public void stepThatServiceAllowsNowhereHasNoEligibleWorker() {
        cell.withAdvice();
        cell.worker("w", "address", WORKER);
        cell.run(300);
        String job = IntStream.range(0, 100)
                .mapToObj(number -> "job" + number)
                .filter(name -> !SimulatedCell.mayRun(new StepId(name, 0, 0).toString(), "w"))
                .findFirst()
                .orElseThrow();
        cell.submit(cell.job(job, 1, SMALL, false));
        cell.run(1_500);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_ELIGIBLE_WORKER, 1L));
    }

    @Test
    public void stepThatFitsNowhereHasNoRoom() {
        startWorkers();
        cell.submit(cell.job("job1", 1, TOO_LARGE, false));
        cell.run(1_500);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_ROOM, 1L));
    }

    @Test
    public void stepWithExpiredTicketsWaitsForTickets() {
        cell.withAdvice();
        startWorkers();
        cell.workMillis(3_000);
        cell.submit(cell.job("job1", 100, SMALL, false));
        cell.run(1_000);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_ROOM, 1L));
        cell.adviceFailure = Optional.of(AdviceOutcome.OVERLOADED);
        cell.run(7_000);
        assertEquals(lastSample().waitingSteps(), Map.of(WaitReason.NO_TICKET, 1L));
    }

    @Test
    public void stepsBeyondLimitOfRoundAreNotConsidered() {
        int steps = WaitSampler.MAX_STEPS + 10;
        for (int number = 0; number < steps; number++) {
            cell.submit(cell.job("job" + number, 1, SMALL, false));
        }
        cell.run(1_500);
        assertEquals(
                lastSample().waitingSteps(),
                Map.of(WaitReason.NO_USABLE_WORKER, (long) WaitSampler.MAX_STEPS, WaitReason.NOT_SAMPLED, 10L));
    }

    @Test
    public void samplesAtMostOncePerSecond() {
        startWorkers();
        cell.submit(cell.job("job1", 1, TOO_LARGE, false));
        cell.run(5_000);
        assertTrue(samples.size() >= 4, "samples at " + sampledMillis);
        for (int sample = 1; sample < sampledMillis.size(); sample++) {
            assertTrue(
                    sampledMillis.get(sample) - sampledMillis.get(sample - 1) >= 1_000, "samples at " + sampledMillis);
        }
    }

    @Test
    public void reportsLongWaitsInTurnAndAtMostThreeAtOnce() {
        int jobs = 10;
        for (int number = 0; number < jobs; number++) {
            cell.submit(cell.job("job" + number, 1, SMALL, false));
        }
        cell.run(9_000);
        assertTrue(samples.stream().allMatch(sample -> sample.longWaits().size() <= 3));
        assertTrue(longWaits().stream().allMatch(wait -> wait.waitedMillis() >= 2_000));
        Map<StepId, Long> reportsByStep = longWaits().stream()
                .collect(Collectors.groupingBy(DispatchStatus.LongWait::step, Collectors.counting()));
        assertEquals(reportsByStep.size(), jobs);
        assertEquals(longWaits().size(), jobs, "a step was reported again within ten seconds");
    }

    @Test
    public void reportsStepAgainWhileItWaits() {
        cell.submit(cell.job("job1", 1, SMALL, false));
        cell.run(14_500);
        assertEquals(longWaits().size(), 2);
        assertTrue(longWaits().get(1).waitedMillis() >= 12_000);
    }
}
