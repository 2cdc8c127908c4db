package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;

import org.testng.annotations.Test;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** Tests which jobs are refused when more work arrives than can be completed in time. */
public class AdmissionTest {

    private static final long USABLE_CPU_MILLIS = 1_000_000;

    private static final JobSpec SPEC = JobSpec.newBuilder()
            .addSteps(Step.newBuilder()
                    .setCount(4)
                    .setEstimateMillis(1_000)
                    .setSize(Quantity.newBuilder().setCpuMillis(2_000)))
            .build();

    private static final Queue QUEUE =
            Queue.newBuilder().setStretch(2).setObjectiveMillis(500).build();

    private static Optional<Refusal> decide(double waitMillis) {
        return Admission.decide(SPEC, QUEUE, waitMillis * USABLE_CPU_MILLIS, USABLE_CPU_MILLIS);
    }

    @Test
    public void acceptsJobThatCanMeetObjective() {
        assertEquals(decide(1_000), Optional.empty());
    }

    @Test
    public void refusesLateJobWithRetryTime() {
        Refusal refusal = decide(4_000).orElseThrow();
        assertEquals(refusal.code(), ResultCode.DEADLINE_UNREACHABLE);
        assertTrue(refusal.code().outcome() == ResultCode.Outcome.NOT_RUN);
        assertTrue(refusal.retryAfterMillis() > 2_500, "retry time is too short: " + refusal.retryAfterMillis());
    }

    @Test
    public void refusesWhileNoWorkerIsKnown() {
        assertEquals(Admission.decide(SPEC, QUEUE, 0, 0).orElseThrow().code(), ResultCode.NO_BACKEND_SERVER);
    }
}
