package org.wasabimount.core.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;

/** Tests jobs that wait, or are refused, behind tasks that never end or never start. */
public class EndlessTasksTest {

    private static final Capacity WORKER = new Capacity(32_000, 128_000, 0);
    private static final Capacity SMALL = new Capacity(2_000, 4_000, 0);
    private static final Capacity LARGE = new Capacity(10_000, 20_000, 0);

    private static JobSpec longRunning(JobSpec job) {
        return job.toBuilder()
                .setSteps(0, job.getSteps(0).toBuilder().setLongRunning(true))
                .build();
    }

    /** Guards against a worker that gets no task for ever after a quarantine, as a lasting task runs on it. */
    @Test
    public void workerWithLastingTaskGetsTasksAfterQuarantine() {
        SimulatedCell cell = new SimulatedCell(7);
        SimulatedWorker worker = cell.worker("w", cell.addresses(1).iterator().next(), WORKER);
        cell.run(1_000);
        worker.slowdownFactor = 100_000;
        cell.submit(longRunning(cell.job("lasting", 1, SMALL, false)));
        cell.run(2_000);
        worker.slowdownFactor = 1;
        worker.failsAllTasks = true;
        IntStream.range(0, 4).forEach(number -> cell.submit(cell.job("bad" + number, 1, SMALL, false)));
        cell.run(3_000);
        worker.failsAllTasks = false;
        cell.submit(cell.job("job1", 2, SMALL, false));
        cell.run(120_000);
        assertEquals(cell.phase("lasting"), JobPhase.ACTIVE);
        assertEquals(cell.phase("job1"), JobPhase.COMPLETED);
    }

    /** Guards against refused jobs beside idle workers, as urgent jobs that can't start count as work ahead of them. */
    @Test
    public void urgentJobsThatCannotStartDoNotRefuseOthers() {
        SimulatedCell cell = new SimulatedCell(7);
        Queue normal = cell.queue().toBuilder().setPriority(1).build();
        Queue urgent = cell.queue().toBuilder()
                .setName("urgent")
                .setPathPrefix("/u/")
                .setPriority(0)
                .build();
        cell.putQueues(List.of(normal, urgent));
        cell.addresses(4).forEach(address -> cell.worker("w" + address, address, WORKER));
        cell.run(1_000);
        IntStream.range(0, 100).forEach(number -> {
            JobSpec job = cell.job("urgent" + number, 4, LARGE, false);
            cell.submit(
                    job.toBuilder()
                            .setQueue("urgent")
                            .setSteps(0, job.getSteps(0).toBuilder().setRequiredLabel("none"))
                            .build(),
                    urgent);
        });
        cell.run(120_000);
        assertEquals(cell.dispatcher.admit(cell.job("job1", 1, SMALL, false), normal), Optional.empty());
    }
}
