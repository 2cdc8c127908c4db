package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.StepId;
import org.wasabimount.core.job.TaskId;

/** Tests since when jobs count as idle. */
public class IdleJobsTest {

    private final SimulatedCell cell = new SimulatedCell(7);
    private Job job1;
    private Job job2;
    private IdleJobs jobs;

    @BeforeMethod
    public void openJobs() {
        job1 = job("job1");
        job2 = job("job2");
        jobs = new IdleJobs();
        jobs.opened(job1);
        jobs.opened(job2);
    }

    private Job job(String id) {
        if (cell.table.job(id).isEmpty()) {
            cell.submit(cell.job(id, 2, new Capacity(1_000, 1_000, 0), false));
        }
        return cell.table.job(id).orElseThrow();
    }

    private static StepId step(Job job) {
        return new StepId(job.id(), 0, 0);
    }

    private static TaskId task(Job job, int index) {
        return new TaskId(job.id(), 0, 0, index);
    }

    private List<Long> idleSinceMillis() {
        return jobs.idle().stream().map(IdleJobs.OpenJob::idleSinceMillis).toList();
    }

    @Test
    public void jobWithoutReadyStepIsNotIdle() {
        assertEquals(idleSinceMillis(), List.of());
        jobs.ready(step(job1), true, 100);
        jobs.ready(step(job1), false, 200);
        assertEquals(idleSinceMillis(), List.of());
    }

    /** Guards against a time that begins anew whenever the same step is refreshed. */
    @Test
    public void idleSinceFirstStepWasReady() {
        jobs.ready(step(job1), true, 100);
        jobs.ready(step(job1), true, 300);
        jobs.ready(new StepId(job1.id(), 0, 1), true, 400);
        assertEquals(idleSinceMillis(), List.of(100L));
    }

    /** Guards against a job that counts as idle although one of its runs remains. */
    @Test
    public void idleAgainOnlyOnceLastRunIsReleased() {
        jobs.ready(step(job1), true, 100);
        jobs.placed(task(job1, 0), 200);
        jobs.placed(task(job1, 1), 250);
        assertEquals(idleSinceMillis(), List.of());
        jobs.released(task(job1, 0), 300);
        assertEquals(idleSinceMillis(), List.of());
        jobs.released(task(job1, 1), 400);
        assertEquals(idleSinceMillis(), List.of(400L));
    }

    @Test
    public void longestIdleIsFirst() {
        jobs.ready(step(job1), true, 100);
        jobs.ready(step(job2), true, 200);
        assertEquals(idleSinceMillis(), List.of(100L, 200L));
        jobs.placed(task(job1, 0), 300);
        jobs.released(task(job1, 0), 400);
        assertEquals(idleSinceMillis(), List.of(200L, 400L));
    }

    /** Guards against entries of ended jobs, which would stay for the whole term. */
    @Test
    public void endedJobIsForgotten() {
        jobs.ready(step(job1), true, 100);
        jobs.ended(job1.id());
        jobs.released(task(job1, 0), 200);
        jobs.ready(step(job1), true, 300);
        assertEquals(idleSinceMillis(), List.of());
    }
}
