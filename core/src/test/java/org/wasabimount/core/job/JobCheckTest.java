package org.wasabimount.core.job;

import static org.testng.Assert.assertEquals;

import java.util.Optional;

import org.testng.annotations.Test;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Step;

/** Tests which jobs are refused as invalid. */
public class JobCheckTest {

    private static Optional<ResultCode> check(Step.Builder step) {
        return JobCheck.check(JobSpec.newBuilder().setId("job").addSteps(step).build())
                .map(Refusal::code);
    }

    @Test
    public void acceptsOrdinaryJob() {
        assertEquals(check(Step.newBuilder().setCount(1).setEstimateMillis(1_000)), Optional.empty());
    }

    /** Guards against a negative estimate that cancels the work ahead of all other jobs. */
    @Test
    public void rejectsNegativeEstimate() {
        assertEquals(check(Step.newBuilder().setCount(1).setEstimateMillis(-1)), Optional.of(ResultCode.INVALID_VALUE));
    }

    @Test
    public void rejectsEstimateWhoseSumsOverflow() {
        assertEquals(
                check(Step.newBuilder().setCount(1).setEstimateMillis(Long.MAX_VALUE)),
                Optional.of(ResultCode.INVALID_VALUE));
    }

    /** Guards against memory that hundreds of jobs with long names of images and racks take on every replica. */
    @Test
    public void rejectsJobOfUnboundedSize() {
        JobSpec spec = JobSpec.newBuilder()
                .setId("job1")
                .addSteps(Step.newBuilder().setCount(1).setImage("i".repeat(262_144)))
                .build();
        assertEquals(JobCheck.check(spec).orElseThrow().code(), ResultCode.TOO_LARGE);
    }
}
