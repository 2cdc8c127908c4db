package org.wasabimount.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.cell.Operation;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.OperationReply;

/** Tests how operations that were forwarded to a leader are handled when the leader changes. */
public class OperationGatewayTest {

    private static final VmId SELF = new VmId("entry");
    private static final VmId LOST = new VmId("lost");
    private static final VmId NEXT = new VmId("next");
    private static final Operation OPERATION =
            Operation.newBuilder().setGroup("jobs").build();
    private static final long OPERATION_TIMEOUT_MILLIS = 60_000;
    private static final long TIMEOUT_SECONDS = 30;

    private final List<PeerNetwork> networks = new ArrayList<>();
    private final List<ResultCode> retries = new ArrayList<>();
    private ScheduledExecutorService timers;
    private PeerNetwork network;
    private OperationGateway gateway;
    private CountDownLatch requestReceived;
    private volatile VmId leader;
    private volatile boolean reachable;
    private volatile long frozenMillis;

    @BeforeMethod
    public void connect() throws IOException {
        timers = OperationGateway.newTimers();
        requestReceived = new CountDownLatch(1);
        retries.clear();
        network = network(SELF);
        leader = LOST;
        reachable = true;
        frozenMillis = 0;
        gateway = new OperationGateway(
                network,
                operation -> Optional.empty(),
                group -> leader.name() + "/0",
                group -> List.of(LOST, NEXT),
                vm -> reachable,
                timers,
                () -> Clock.monotonic().millis() + frozenMillis);
        gateway.setRetryListener(retries::add);
        InetSocketAddress ownAddress = freeAddress();
        network.listen(ownAddress, envelope -> gateway.receive(envelope.getReply()));
        peer(LOST, ownAddress, false);
        peer(NEXT, ownAddress, true);
        await(() -> network.connectedLinks() == 2);
    }

    private PeerNetwork network(VmId vm) {
        PeerNetwork created = new PeerNetwork(vm, null);
        networks.add(created);
        return created;
    }

    /** Adds a VM that receives requests and replies to them only if {@code replies} is true. */
    private void peer(VmId vm, InetSocketAddress gatewayAddress, boolean replies) throws IOException {
        PeerNetwork peer = network(vm);
        peer.connect(SELF, gatewayAddress);
        InetSocketAddress address = freeAddress();
        peer.listen(address, envelope -> {
            requestReceived.countDown();
            if (replies) {
                peer.send(
                        SELF,
                        Envelope.newBuilder()
                                .setReply(OperationReply.newBuilder()
                                        .setId(envelope.getRequest().getId())
                                        .setReply(Reply.newBuilder().setDetail("done"))));
            }
        });
        network.connect(vm, address);
        await(() -> peer.connectedLinks() == 1);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static void await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "the condition was not met before the timeout");
            Thread.onSpinWait();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        networks.forEach(PeerNetwork::close);
        networks.clear();
        timers.shutdownNow();
    }

    /**
     * Guards against operations that keep waiting for a lost leader: after a leader was suspended, the operations that
     * had been forwarded to it waited for 1.35 s although a successor had been elected (seen in dwd-panel trouble-1).
     */
    @Test
    public void retriesAtNextLeaderWithoutWaitingForLostOne() throws Exception {
        CompletableFuture<Reply> reply = gateway.execute(OPERATION, OPERATION_TIMEOUT_MILLIS);
        assertTrue(requestReceived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        leader = NEXT;
        gateway.leaderChanged(NEXT);
        assertEquals(reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getDetail(), "done");
        assertEquals(retries, List.of(ResultCode.COMMIT_UNKNOWN), "the operation waited for the lost leader's timeout");
    }

    @Test
    public void keepsWaitingForUnchangedLeader() throws Exception {
        CompletableFuture<Reply> reply = gateway.execute(OPERATION, OPERATION_TIMEOUT_MILLIS);
        assertTrue(requestReceived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        gateway.leaderChanged(LOST);
        assertTrue(retries.isEmpty());
        assertTrue(!reply.isDone());
    }

    /** Guards against a node that was frozen and sends an operation whose caller has given up long ago. */
    @Test
    public void operationIsNotSentAfterItsDeadline() throws Exception {
        leader = NEXT;
        reachable = false;
        CompletableFuture<Reply> reply = gateway.execute(OPERATION, OPERATION_TIMEOUT_MILLIS);
        frozenMillis = OPERATION_TIMEOUT_MILLIS;
        reachable = true;
        assertEquals(
                reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getResultCode(),
                ResultCode.NO_LEADER.number(),
                "the operation was executed");
        assertEquals(requestReceived.getCount(), 1);
    }

    /** Guards against a timer that wakes the node 1.5 s after each operation that was replied to long before. */
    @Test
    public void repliedOperationsLeaveNoTimers() throws Exception {
        leader = NEXT;
        for (int number = 0; number < 50; number++) {
            CompletableFuture<Reply> reply = gateway.execute(OPERATION, OPERATION_TIMEOUT_MILLIS);
            assertEquals(reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getDetail(), "done");
        }
        int count = ((ScheduledThreadPoolExecutor) timers).getQueue().size();
        assertTrue(count <= 1, count + " timers after 50 operations");
    }
}
