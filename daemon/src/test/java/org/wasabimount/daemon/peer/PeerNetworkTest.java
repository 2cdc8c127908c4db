package org.wasabimount.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.SnapshotRequest;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Presence;

import com.google.protobuf.ByteString;

/** Frames that the other side does not accept. */
public class PeerNetworkTest {

    private static final VmId RECEIVER = new VmId("receiver");
    private static final int TOO_LONG_BYTES = (64 << 20) + 1;
    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
    private PeerNetwork receiver;
    private PeerNetwork sender;

    @BeforeMethod
    public void connect() throws IOException, InterruptedException {
        receiver = new PeerNetwork(RECEIVER, null);
        sender = new PeerNetwork(new VmId("sender"), null);
        InetSocketAddress address = freeAddress();
        receiver.listen(address, received::add);
        sender.connect(RECEIVER, address);
        while (sender.connectedLinks() == 0) {
            Thread.sleep(10);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        sender.close();
        receiver.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    @Test
    public void keepsLinkWhenSnapshotIsTooLongForFrame() throws InterruptedException {
        LogSnapshot snapshot = LogSnapshot.newBuilder()
                .setState(ByteString.copyFrom(new byte[TOO_LONG_BYTES]))
                .build();
        Envelope.Builder tooLong = Envelope.newBuilder()
                .setLog(LogMessage.newBuilder()
                        .setSnapshotRequest(SnapshotRequest.newBuilder().setSnapshot(snapshot)));
        assertFalse(sender.send(RECEIVER, tooLong), "the frame was sent");
        sender.send(
                RECEIVER,
                Envelope.newBuilder().setPresence(Presence.newBuilder().setLeader("after")));
        Envelope next = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(next == null ? "nothing was received" : next.getPresence().getLeader(), "after");
    }
}
