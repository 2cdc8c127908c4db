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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
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

/** What becomes of operations that were passed on to a leader which is lost. */
public class OperationGatewayTest {

    private static final VmId SELF = new VmId("entry");
    private static final VmId LOST = new VmId("lost");
    private static final VmId NEXT = new VmId("next");
    private static final Operation OPERATION =
            Operation.newBuilder().setGroup("jobs").build();
    private static final long TRY_MILLIS = 60_000;
    private static final long PATIENCE_SECONDS = 30;

    private final List<PeerNetwork> networks = new ArrayList<>();
    private final List<ResultCode> retries = new ArrayList<>();
    private ScheduledExecutorService timers;
    private PeerNetwork network;
    private OperationGateway gateway;
    private CountDownLatch asked;
    private volatile VmId leader;

    @BeforeMethod
    public void connect() throws IOException {
        timers = Executors.newSingleThreadScheduledExecutor();
        asked = new CountDownLatch(1);
        retries.clear();
        network = network(SELF);
        leader = LOST;
        gateway = new OperationGateway(
                network,
                operation -> Optional.empty(),
                group -> leader.name() + "/0",
                group -> List.of(LOST, NEXT),
                vm -> true,
                timers,
                Clock.monotonic());
        gateway.setRetryListener(retries::add);
        InetSocketAddress own = freeAddress();
        network.listen(own, envelope -> gateway.receive(envelope.getReply()));
        peer(LOST, own, false);
        peer(NEXT, own, true);
        await(() -> network.connectedLinks() == 2);
    }

    private PeerNetwork network(VmId vm) {
        PeerNetwork created = new PeerNetwork(vm, null);
        networks.add(created);
        return created;
    }

    /** Adds a VM that takes requests, and answers them or not. */
    private void peer(VmId vm, InetSocketAddress gatewayAddress, boolean answers) throws IOException {
        PeerNetwork peer = network(vm);
        peer.connect(SELF, gatewayAddress);
        InetSocketAddress address = freeAddress();
        peer.listen(address, envelope -> {
            asked.countDown();
            if (answers) {
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
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "it did not come");
            Thread.onSpinWait();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        networks.forEach(PeerNetwork::close);
        networks.clear();
        timers.shutdownNow();
    }

    /** Replays dwd-panel trouble-1: the leader was suspended, and what it held waited for 1.35 s although it had a successor. */
    @Test
    public void asksNextLeaderWithoutWaitingForLostOne() throws Exception {
        CompletableFuture<Reply> reply = gateway.execute(OPERATION, TRY_MILLIS);
        assertTrue(asked.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        leader = NEXT;
        gateway.leaderChanged(NEXT);
        assertEquals(reply.get(PATIENCE_SECONDS, TimeUnit.SECONDS).getDetail(), "done");
        assertEquals(retries, List.of(ResultCode.COMMIT_UNKNOWN), "the lost leader's own time-out came first");
    }

    @Test
    public void goesOnWaitingForLeaderThatStays() throws Exception {
        CompletableFuture<Reply> reply = gateway.execute(OPERATION, TRY_MILLIS);
        assertTrue(asked.await(PATIENCE_SECONDS, TimeUnit.SECONDS));
        gateway.leaderChanged(LOST);
        assertTrue(retries.isEmpty());
        assertTrue(!reply.isDone());
    }
}
