package org.wasabimount.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.LeaseRenewalResult;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.protocol.cell.Organisation;
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

import com.google.protobuf.ByteString;

/** Tests that callers are served by the secrets of the newest table, and never see another organisation's jobs. */
public class OrganisationJobsTest {

    private static final long TIMEOUT_SECONDS = 20;
    private static final QueueAddress AT =
            QueueAddress.newBuilder().setHost("host").setPath("/q/").build();
    private static final QueueAddress OPEN_AT =
            QueueAddress.newBuilder().setHost("host").setPath("/open/").build();

    private JobGroup group;
    private long version;

    @BeforeMethod
    public void startLeader() throws IOException {
        WorkerCalls workers = new WorkerCalls() {
            @Override
            public CompletableFuture<OrderResult> start(DispatchAction.Start order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.DONE));
            }

            @Override
            public CompletableFuture<OrderResult> stop(DispatchAction.Stop order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.NO_ANSWER));
            }

            @Override
            public CompletableFuture<OrderResult> pace(DispatchAction.Pace order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.NO_ANSWER));
            }

            @Override
            public CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease order) {
                return CompletableFuture.completedFuture(
                        new LeaseRenewalResult(OrderOutcome.DONE, 1_000, 1, List.of(), List.of()));
            }
        };
        version = 0;
        group = SingleReplicaGroup.of(workers, failure -> {}, Clock.wall());
        group.thread().start();
        put(organisation("one", "a"), organisation("two", "b"));
        await(JobOperation.newBuilder()
                .setAnnounce(Announce.newBuilder()
                        .setSequence(1)
                        .setClockMillis(1_000)
                        .setLife(WorkerLife.newBuilder()
                                .setWorker("w1")
                                .setBornMillis(1)
                                .setAddress("10.0.0.1:80")
                                .setPool("pool")
                                .setCapacity(Quantity.newBuilder().setCpuMillis(80_000)))));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.thread().stop();
    }

    private static Organisation organisation(String name, String... secrets) {
        return Organisation.newBuilder()
                .setName(name)
                .setQuota(new Capacity(Capacity.UNLIMITED, Capacity.UNLIMITED, Capacity.UNLIMITED).toQuantity())
                .addAllSecretHashes(
                        Arrays.stream(secrets).map(ByteString::copyFromUtf8).toList())
                .build();
    }

    private static Queue.Builder queue(String name, QueueAddress at) {
        return Queue.newBuilder()
                .setName(name)
                .setHost(at.getHost())
                .setPathPrefix(at.getPath())
                .setPool("pool")
                .setTimeoutMillis(3_000)
                .setObjectiveMillis(10_000)
                .setStretch(10)
                .setMaxAttempts(2);
    }

    private void put(Organisation... organisations) {
        version++;
        await(JobOperation.newBuilder()
                .setPutQueues(QueueTable.newBuilder()
                        .setVersion(version)
                        .addPools(Pool.newBuilder().setName("pool"))
                        .addQueues(queue("queue", AT).setSecretRequired(true))
                        .addQueues(queue("open", OPEN_AT))
                        .addAllOrganisations(Arrays.asList(organisations))));
    }

    /** Executes an operation; repeats it while the leader's lease has lapsed, as on a busy machine. */
    private Reply reply(JobOperation.Builder operation) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        Reply reply = group.execute(operation.build()).join();
        while (reply.getResultCode() == ResultCode.NOT_LEADER.number() && System.nanoTime() < untilNanos) {
            reply = group.execute(operation.build()).join();
        }
        return reply;
    }

    private ResultCode execute(JobOperation.Builder operation) {
        return ResultCode.of(reply(operation).getResultCode());
    }

    private void await(JobOperation.Builder operation) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (execute(operation) != ResultCode.OK) {
            assertTrue(System.nanoTime() < untilNanos, "the operation was not accepted in time");
            Thread.onSpinWait();
        }
    }

    private static JobOperation.Builder operation(String secret) {
        return JobOperation.newBuilder().setSecretHash(ByteString.copyFromUtf8(secret));
    }

    private ResultCode submit(String secret, QueueAddress at, String job) {
        JobSpec spec = JobSpec.newBuilder()
                .setId(job)
                .addSteps(Step.newBuilder()
                        .setCount(1)
                        .setSize(Quantity.newBuilder().setCpuMillis(1_000))
                        .setEstimateMillis(5_000))
                .build();
        return execute(operation(secret).setSubmit(Submit.newBuilder().setAt(at).setSpec(spec)));
    }

    private static JobQuery query(QueueAddress at, String job) {
        return JobQuery.newBuilder()
                .setAt(at.toBuilder().setPath(at.getPath() + job))
                .setJob(job)
                .build();
    }

    private ResultCode state(String secret, QueueAddress at, String job) {
        return execute(operation(secret).setState(query(at, job)));
    }

    private ResultCode cancel(String secret, QueueAddress at, String job) {
        return execute(operation(secret).setCancel(query(at, job)));
    }

    @Test
    public void refusesUnknownAndMissingSecrets() {
        assertEquals(submit("x", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(submit("", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(state("x", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(cancel("", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(execute(operation("x").setCountWaiting(AT)), ResultCode.UNAUTHENTICATED);
        assertEquals(execute(operation("b").setCountWaiting(AT)), ResultCode.OK);
        QueueAddress nowhere = AT.toBuilder().setPath("/nowhere/").build();
        assertEquals(submit("x", nowhere, "job"), ResultCode.NO_SUCH_ROUTE);
    }

    @Test
    public void jobsOfOtherOrganisationsDoNotExist() {
        assertEquals(submit("a", AT, "job"), ResultCode.OK);
        assertEquals(state("a", AT, "job"), ResultCode.OK);
        assertEquals(state("b", AT, "job"), ResultCode.NOT_FOUND);
        assertEquals(cancel("b", AT, "job"), ResultCode.NOT_FOUND);
        assertEquals(submit("b", AT, "job"), ResultCode.KEY_REUSED);
        assertEquals(submit("a", AT, "job"), ResultCode.OK);
        assertEquals(state("a", AT, "job"), ResultCode.OK);
        assertEquals(cancel("a", AT, "job"), ResultCode.OK);
    }

    @Test
    public void cancellationAheadOfSubmissionCountsForItsOrganisationOnly() {
        assertEquals(cancel("b", AT, "job"), ResultCode.NOT_FOUND);
        assertEquals(submit("a", AT, "job"), ResultCode.OK);
        assertEquals(reply(operation("a").setState(query(AT, "job"))).getJob().getPhase(), JobPhase.QUEUED);
    }

    @Test
    public void refusesSecretFromTheVersionThatLacksIt() {
        assertEquals(submit("a", AT, "job"), ResultCode.OK);
        put(organisation("one", "c"), organisation("two", "b"));
        assertEquals(state("a", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(submit("a", AT, "job"), ResultCode.UNAUTHENTICATED);
        assertEquals(submit("a", AT, "other"), ResultCode.UNAUTHENTICATED);
        assertEquals(state("c", AT, "job"), ResultCode.OK);
        put(organisation("two", "b"));
        assertEquals(state("c", AT, "job"), ResultCode.UNAUTHENTICATED);
        put(organisation("one", "d"), organisation("two", "b"));
        assertEquals(state("d", AT, "job"), ResultCode.OK);
    }

    @Test
    public void openQueueServesEverybody() {
        assertEquals(submit("", OPEN_AT, "job"), ResultCode.OK);
        assertEquals(state("x", OPEN_AT, "job"), ResultCode.OK);
        assertEquals(submit("a", AT, "job"), ResultCode.KEY_REUSED);
    }
}
