package org.wasabimount.daemon.job;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.dispatch.DispatchAction;
import org.wasabimount.core.dispatch.LeaseRenewalResult;
import org.wasabimount.core.dispatch.OrderOutcome;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.JobOperation;
import org.wasabimount.protocol.job.WorkerLife;

/** Tests that responses of workers are not lost while the group's thread is busy. */
public class FullRingTest {

    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<CompletableFuture<LeaseRenewalResult>> renewals = new LinkedBlockingQueue<>();
    private volatile boolean confirmed;
    private JobGroup group;

    @BeforeMethod
    public void startLeader() throws IOException {
        renewals.clear();
        confirmed = false;
        WorkerCalls workers = new WorkerCalls() {
            @Override
            public CompletableFuture<OrderResult> start(DispatchAction.Start order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.DONE));
            }

            @Override
            public CompletableFuture<OrderResult> stop(DispatchAction.Stop order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.DONE));
            }

            @Override
            public CompletableFuture<OrderResult> pace(DispatchAction.Pace order) {
                return CompletableFuture.completedFuture(OrderResult.of(OrderOutcome.DONE));
            }

            @Override
            public CompletableFuture<LeaseRenewalResult> renewLease(DispatchAction.RenewLease order) {
                if (!confirmed) {
                    confirmed = true;
                    return CompletableFuture.completedFuture(emptyList());
                }
                CompletableFuture<LeaseRenewalResult> renewal = new CompletableFuture<>();
                renewals.add(renewal);
                return renewal;
            }
        };
        group = SingleReplicaGroup.of(workers, failure -> {}, Clock.wall());
        group.thread().start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.thread().stop();
    }

    private void announceWorker() throws InterruptedException {
        WorkerLife incarnation = WorkerLife.newBuilder()
                .setWorker("w1")
                .setBornMillis(1)
                .setAddress("10.0.0.1:80")
                .setPool("pool")
                .setCapacity(Quantity.newBuilder().setCpuMillis(1_000))
                .build();
        JobOperation announce = JobOperation.newBuilder()
                .setAnnounce(Announce.newBuilder().setLife(incarnation).setSequence(1))
                .build();
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (group.execute(announce).join().getResultCode() != ResultCode.OK.number()) {
            assertTrue(System.nanoTime() < untilNanos, "the node did not become the leader");
            Thread.sleep(20);
        }
    }

    private CompletableFuture<LeaseRenewalResult> nextRenewal() throws InterruptedException {
        CompletableFuture<LeaseRenewalResult> renewal = renewals.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(renewal != null, "the worker's lease was not renewed");
        return renewal;
    }

    private static LeaseRenewalResult emptyList() {
        return new LeaseRenewalResult(OrderOutcome.DONE, 1_000, 1, List.of(), List.of());
    }

    /** Guards against workers that are never asked again because a response met a full ring. */
    @Test
    public void renewsLeaseAfterResponseMetFullRing() throws InterruptedException {
        announceWorker();
        CompletableFuture<LeaseRenewalResult> renewal = nextRenewal();
        CountDownLatch busy = new CountDownLatch(1);
        group.thread().submit(() -> awaitQuietly(busy));
        while (group.thread().submit(() -> {})) {
            Thread.onSpinWait();
        }
        renewal.complete(emptyList());
        busy.countDown();
        nextRenewal();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
