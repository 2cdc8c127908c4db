package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.protocol.job.Step;

/** Tests the estimates of how long runs will last. */
public class TrackedRunTest {

    private static final long START_MILLIS = 10_000;
    private static final Step STEP =
            Step.newBuilder().setCount(1).setEstimateMillis(2_000).build();

    private static TrackedRun run(TrackedRun.State state) {
        return new TrackedRun(new RunId(new TaskId("job", 0, 0, 0), 1), new IncarnationId("worker", 1), STEP, state);
    }

    private static TrackedRun started() {
        TrackedRun run = run(TrackedRun.State.TO_START);
        run.starting(false);
        run.runs(START_MILLIS);
        return run;
    }

    @Test
    public void runIsExpectedToLastAsLongAsDeclaredUntilItsPaceIsKnown() {
        assertEquals(started().remainingMillis(START_MILLIS + 500), 1_500);
    }

    /** Guards against room that is about to be free for as long as a run lasts. */
    @Test
    public void overdueRunIsExpectedToLastAsLongAgain() {
        TrackedRun run = started();
        assertFalse(run.overdue(START_MILLIS + 1_900));
        assertTrue(run.overdue(START_MILLIS + 7_000));
        assertEquals(run.remainingMillis(START_MILLIS + 7_000), 5_000);
    }

    @Test
    public void paceOfRunIsKnownFromItsStart() {
        TrackedRun run = started();
        run.progress("", 20, START_MILLIS + 2_000);
        assertEquals(run.remainingMillis(START_MILLIS + 3_000), 7_000);
    }

    /** Guards against runs of an earlier leader that are expected to end at once when they have lasted long. */
    @Test
    public void paceOfRunOfEarlierLeaderIsKnownFromTwoLists() {
        TrackedRun run = run(TrackedRun.State.INHERITED);
        run.runs(START_MILLIS);
        run.progress("", 40, START_MILLIS);
        run.progress("", 50, START_MILLIS + 5_000);
        assertEquals(run.remainingMillis(START_MILLIS + 5_000), 25_000);
    }

    /** Guards against the room of a gang that waits for its slowest task and counts as about to be free. */
    @Test
    public void runThatHasDoneItsWorkIsExpectedToLastAsLongAgain() {
        TrackedRun run = started();
        run.progress("", 100, START_MILLIS + 1_500);
        run.progress("", 100, START_MILLIS + 4_500);
        run.progress("", 100, START_MILLIS + 5_500);
        assertTrue(run.overdue(START_MILLIS + 5_500));
        assertEquals(run.remainingMillis(START_MILLIS + 5_500), 4_000);
    }
}
