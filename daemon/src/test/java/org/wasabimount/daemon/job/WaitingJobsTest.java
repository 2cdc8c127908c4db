package org.wasabimount.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.LeaseRenewalResult;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobQuery;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Pool;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueAddress;
import org.wasabimount.protocol.job.QueueTable;
import org.wasabimount.protocol.job.Step;
import org.wasabimount.protocol.job.Submit;
import org.wasabimount.protocol.job.WorkerLife;

/** Tests which jobs are said to wait; a placement is a decision, and its start may be carried out late or never. */
public class WaitingJobsTest {

    private static final long TIMEOUT_SECONDS = 20;
    private static final long CALL_MILLIS = 20;
    private static final int JOBS = 3;
    private static final QueueAddress AT =
            QueueAddress.newBuilder().setHost("host").setPath("/q/").build();

    private volatile OrderOutcome startOutcome;
    private volatile int starts;
    private ScheduledExecutorService timers;
    private JobGroup group;

    @BeforeMethod
    public void startLeader() throws IOException {
        timers = Executors.newSingleThreadScheduledExecutor();
        starts = 0;
        WorkerCalls workers = new WorkerCalls() {
            @Override
            public CompletableFuture<OrderResult> start(DispatchAction.Start order) {
                starts++;
                return later(OrderResult.of(startOutcome));
            }

            @Override
            public CompletableFuture<OrderResult> stop(DispatchAction.Stop order) {
                return later(OrderResult.of(OrderOutcome.NO_ANSWER));
            }

            @Override
            public CompletableFuture<OrderResult> pace(DispatchAction.Pace order) {
                return later(OrderResult.of(OrderOutcome.NO_ANSWER));
            }

            @Override
            public CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease order) {
                return later(new LeaseRenewalResult(OrderOutcome.DONE, 1_000, 1, List.of(), List.of()));
            }
        };
        group = SingleReplicaGroup.of(workers, failure -> {}, Clock.wall());
        group.thread().start();
        await(() -> accepted(JobOperation.newBuilder()
                .setPutQueues(QueueTable.newBuilder()
                        .setVersion(1)
                        .addPools(Pool.newBuilder().setName("pool"))
                        .addQueues(Queue.newBuilder()
                                .setName("queue")
                                .setHost("host")
                                .setPathPrefix("/q/")
                                .setPool("pool")
                                .setTimeoutMillis(3_000)
                                .setObjectiveMillis(10_000)
                                .setStretch(10)
                                .setMaxAttempts(2)))));
        await(() -> accepted(JobOperation.newBuilder()
                .setAnnounce(Announce.newBuilder()
                        .setSequence(1)
                        .setClockMillis(1_000)
                        .setLife(WorkerLife.newBuilder()
                                .setWorker("w1")
                                .setBornMillis(1)
                                .setAddress("10.0.0.1:80")
                                .setPool("pool")
                                .setCapacity(Quantity.newBuilder().setCpuMillis(8_000))))));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.thread().stop();
        timers.shutdownNow();
    }

    private <T> CompletableFuture<T> later(T result) {
        CompletableFuture<T> response = new CompletableFuture<>();
        timers.schedule(() -> response.complete(result), CALL_MILLIS, TimeUnit.MILLISECONDS);
        return response;
    }

    private Reply execute(JobOperation.Builder operation) {
        return group.execute(operation.build()).join();
    }

    private boolean accepted(JobOperation.Builder operation) {
        return execute(operation).getResultCode() == 0;
    }

    private static void await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "the condition was not met in time");
            Thread.onSpinWait();
        }
    }

    private void submitJobs() {
        for (int number = 0; number < JOBS; number++) {
            JobSpec spec = JobSpec.newBuilder()
                    .setId("job" + number)
                    .addSteps(Step.newBuilder()
                            .setCount(1)
                            .setSize(Quantity.newBuilder().setCpuMillis(1_000))
                            .setEstimateMillis(5_000))
                    .build();
            await(() -> accepted(JobOperation.newBuilder()
                    .setSubmit(Submit.newBuilder().setAt(AT).setSpec(spec))));
        }
        await(() -> starts >= JOBS);
    }

    private long waiting() {
        return execute(JobOperation.newBuilder().setCountWaiting(AT)).getJob().getWaiting();
    }

    private JobPhase phase(String job) {
        return execute(JobOperation.newBuilder()
                        .setState(JobQuery.newBuilder().setAt(AT).setJob(job)))
                .getJob()
                .getPhase();
    }

    /** Guards against jobs whose starts are left without an answer and that are not counted as waiting. */
    @Test
    public void placedJobsThatHaveNotBegunAreCountedAsWaiting() {
        startOutcome = OrderOutcome.NO_ANSWER;
        submitJobs();
        assertEquals(waiting(), JOBS);
        assertEquals(phase("job0"), JobPhase.QUEUED);
    }

    @Test
    public void jobsWhoseStartIsAnsweredDoNotWait() {
        startOutcome = OrderOutcome.DONE;
        submitJobs();
        await(() -> waiting() == 0);
        assertEquals(phase("job0"), JobPhase.ACTIVE);
    }
}
