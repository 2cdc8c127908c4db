package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;

import org.testng.annotations.Test;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.core.job.WorkerEntry;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.WorkerLife;

/** A pool of fast workers with one of a slow kind, each of which runs a task of every job. */
public class SlowWorkerDetectorTest {

    private static final int FAST_WORKERS = 4;
    private static final double SLOW_KIND_PACE = 0.55;
    private static final double FAST_PACE = 1.6;

    private final SlowWorkerDetector detector = new SlowWorkerDetector(new SpeedTracker());
    private int jobs;

    /** Returns whether the slow worker is found to be slow when it runs tasks of two more jobs at a pace. */
    private boolean foundSlow(double slowPace) {
        for (int number = 0; number < FAST_WORKERS; number++) {
            list("fast" + number, number, FAST_PACE);
        }
        boolean found = list("slow", FAST_WORKERS, slowPace);
        jobs += 2;
        return found;
    }

    private boolean list(String name, int task, double pace) {
        WorkerLife life = WorkerLife.newBuilder().setWorker(name).build();
        WorkerEntry entry = WorkerEntry.of(Announce.newBuilder().setLife(life).build());
        TrackedWorker worker = new TrackedWorker(entry, 1, 0);
        List<SlowWorkerDetector.PaceSample> samples =
                List.of(sample(entry, 0, task, pace), sample(entry, 1, task, pace));
        return !detector.slowRuns(worker, samples, jobs).isEmpty();
    }

    private SlowWorkerDetector.PaceSample sample(WorkerEntry worker, int job, int task, double pace) {
        RunId run = new RunId(new TaskId("job" + (jobs + job), 0, 0, task), 1);
        return new SlowWorkerDetector.PaceSample(
                new TrackedRun(run, worker.id(), Step.getDefaultInstance(), TrackedRun.State.RUNNING), pace);
    }

    @Test
    public void comparesWorkersOfSlowKindsWithTheirOwnUsualPace() {
        for (int round = 0; round < 20; round++) {
            foundSlow(SLOW_KIND_PACE);
        }
        assertFalse(foundSlow(SLOW_KIND_PACE), "the worker works at its usual pace");
        assertTrue(foundSlow(SLOW_KIND_PACE / 5), "the worker has become five times slower");
    }
}
