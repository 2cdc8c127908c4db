package org.wasabimount.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

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

/** Tests that an unexpected error fails the operation that met it and nothing else. */
public class UnexpectedErrorTest {

    private static final long TIMEOUT_SECONDS = 20;

    private final AtomicReference<IOException> failure = new AtomicReference<>();
    private volatile boolean clockFails;
    private volatile boolean workFails;
    private volatile int failures;
    private volatile Supplier<CompletableFuture<LeaseRenewalResult>> renewal;
    private JobGroup group;

    private long wallMillis() {
        if (clockFails && calledBy("record") || workFails && calledBy("work") && !calledBy("mayDecide")) {
            failures++;
            throw new IllegalStateException("the clock fails");
        }
        return Clock.wall().millis();
    }

    private static boolean calledBy(String method) {
        return StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(frame -> frame.getMethodName().equals(method)));
    }

    @BeforeMethod
    public void startLeader() throws IOException {
        clockFails = false;
        renewal = () -> CompletableFuture.completedFuture(
                new LeaseRenewalResult(OrderOutcome.DONE, 1_000, 1, List.of(), List.of()));
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
                return renewal.get();
            }
        };
        group = SingleReplicaGroup.of(workers, failure::set, this::wallMillis);
        group.thread().start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.thread().stop();
    }

    private static JobOperation announce(String worker) {
        return JobOperation.newBuilder()
                .setAnnounce(Announce.newBuilder()
                        .setLife(WorkerLife.newBuilder()
                                .setWorker(worker)
                                .setBornMillis(1)
                                .setAddress("10.0.0.1:80")
                                .setPool("pool")
                                .setCapacity(Quantity.newBuilder().setCpuMillis(1_000)))
                        .setSequence(1))
                .build();
    }

    private void awaitLeadership() throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (group.execute(announce("w0")).join().getResultCode() != ResultCode.OK.number()) {
            assertTrue(System.nanoTime() < untilNanos, "the node did not become the leader");
            Thread.sleep(20);
        }
    }

    /** Guards against an operation whose unexpected error ends the process of each leader that it reaches. */
    @Test(timeOut = 60_000)
    public void operationThatFailsUnexpectedlyDoesNotStopTheGroup() throws InterruptedException {
        awaitLeadership();
        clockFails = true;
        assertEquals(group.execute(announce("w1")).join().getResultCode(), ResultCode.INTERNAL.number());
        clockFails = false;
        awaitLeadership();
        assertEquals(failure.get(), null);
    }

    /** Guards against a worker that is not called again after a response that can't be handled. */
    @Test(timeOut = 60_000)
    public void responseThatFailsUnexpectedlyCountsAsNone() throws InterruptedException {
        awaitLeadership();
        renewal = () -> CompletableFuture.failedFuture(new IllegalStateException("the response can't be handled"));
        assertEquals(group.execute(announce("w1")).join().getResultCode(), ResultCode.OK.number());
        AtomicInteger calls = new AtomicInteger();
        renewal = () -> {
            calls.incrementAndGet();
            return CompletableFuture.failedFuture(new IllegalStateException("the response can't be handled"));
        };
        while (calls.get() < 3) {
            Thread.sleep(20);
        }
        assertEquals(failure.get(), null);
    }

    /** Guards against a state or response at which the dispatcher fails, and with it one leader after the other. */
    @Test(timeOut = 60_000)
    public void dispatcherThatFailsUnexpectedlyStartsAgain() throws InterruptedException {
        awaitLeadership();
        workFails = true;
        while (failures < 2) {
            Thread.sleep(20);
        }
        workFails = false;
        awaitLeadership();
        assertEquals(failure.get(), null);
    }
}
