package org.wasabimount.core.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;

/** Tests whose jobs are refused when organisations send more than the workers can complete. */
public class SharedAdmissionTest {

    private static final long CPU_MILLIS = 1_000_000;

    /** Work of a job that takes all cores for 100 ms. */
    private static final double JOB_WORK = 100.0 * CPU_MILLIS;

    private static final long NOW_MILLIS = 10_000;

    private SharedAdmission admission;

    @BeforeMethod
    public void declare() {
        admission = new SharedAdmission();
        admission.declare(Map.of("large", 10, "small", 2), NOW_MILLIS);
    }

    private static SharedAdmission.Load waiting(double millis) {
        return new SharedAdmission.Load(millis * CPU_MILLIS, millis * CPU_MILLIS, 0, CPU_MILLIS);
    }

    private static SharedAdmission.Submission job(String id, String organisation) {
        return new SharedAdmission.Submission(id, organisation, false, JOB_WORK, 1_000, 5_000);
    }

    private Optional<Refusal> decide(String id, String organisation, double waitingMillis, long nowMillis) {
        return admission.decide(job(id, organisation), waiting(waitingMillis), nowMillis);
    }

    private long acceptedOfTwenty(double waitingMillis) {
        return IntStream.range(0, 20)
                .filter(number -> decide("job" + number, "large", waitingMillis, NOW_MILLIS)
                        .isEmpty())
                .count();
    }

    @Test
    public void refusesOnlyWhatExceedsRateWhileRoomIsShort() {
        assertEquals(acceptedOfTwenty(2_500), 10);
        assertEquals(decide("next", "large", 2_500, NOW_MILLIS).orElseThrow().code(), ResultCode.SHARE_EXCEEDED);
    }

    @Test
    public void lendsIdleRoomBeyondRate() {
        assertEquals(acceptedOfTwenty(500), 20);
        assertTrue(admission.committed("job19").orElseThrow().beyondShare(), "it comes after jobs within their share");
        assertTrue(!admission.committed("job0").orElseThrow().beyondShare(), "it lies within its share");
    }

    @Test
    public void acceptsFirstJobOfSmallOrganisationBehindBacklogOfLargeOne() {
        admission.workChanged("large", 8_000.0 * CPU_MILLIS);
        assertTrue(decide("job1", "large", 8_000, NOW_MILLIS).isPresent(), "its own backlog takes too long");
        assertEquals(decide("job2", "small", 8_000, NOW_MILLIS), Optional.empty());
    }

    @Test
    public void refusesWhatCannotBeInTimeWithinShares() {
        admission.workChanged("large", 20_000.0 * CPU_MILLIS);
        admission.workChanged("small", 4_000.0 * CPU_MILLIS);
        assertEquals(decide("job1", "small", 24_000, NOW_MILLIS).orElseThrow().code(), ResultCode.DEADLINE_UNREACHABLE);
    }

    @Test
    public void tellsClientsThatAreRefusedTogetherToReturnOneAfterTheOther() {
        long[] retryMillis = LongStream.range(0, 10)
                .map(number -> decide("job" + number, "large", 9_000, NOW_MILLIS)
                        .orElseThrow()
                        .retryAfterMillis())
                .toArray();
        assertTrue(retryMillis[9] >= retryMillis[0] + 900, "the work of nine jobs is promised room before the last");
        assertTrue(LongStream.of(retryMillis).allMatch(millis -> millis <= 8_000));
    }

    @Test
    public void clientThatReturnsWhenToldIsJudgedByItsFirstSubmission() {
        long retryMillis =
                decide("job1", "small", 9_000, NOW_MILLIS).orElseThrow().retryAfterMillis();
        long returnMillis = NOW_MILLIS + retryMillis;
        assertEquals(admission.firstMillis("job1", returnMillis), NOW_MILLIS);
        assertEquals(decide("job1", "small", 1_000, returnMillis), Optional.empty());
        assertEquals(admission.committed("job1").orElseThrow().firstMillis(), NOW_MILLIS);
    }

    @Test
    public void returnDoesNotCountAgainstRateAgain() {
        long retryMillis =
                decide("job0", "small", 9_000, NOW_MILLIS).orElseThrow().retryAfterMillis();
        decide("job1", "small", 9_000, NOW_MILLIS);
        assertEquals(decide("job2", "small", 9_000, NOW_MILLIS).orElseThrow().code(), ResultCode.SHARE_EXCEEDED);
        assertEquals(decide("job0", "small", 1_000, NOW_MILLIS + retryMillis), Optional.empty());
        assertTrue(!admission.committed("job0").orElseThrow().beyondShare());
    }

    @Test
    public void forgetsPromisesOfClientsThatDoNotReturn() {
        PromisedReturns returns = new PromisedReturns();
        IntStream.range(0, 10_000)
                .forEach(number -> returns.add(
                        new PromisedReturns.Promise("job" + number, true, 0, 1, 1_000 + number, JOB_WORK, true)));
        assertTrue(returns.work(0) < 5_000 * JOB_WORK, "the number of promises is bounded");
        assertEquals(returns.work(20_000), 0.0);
    }
}
