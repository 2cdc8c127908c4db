package org.wasabimount.daemon.peer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.Envelope;
import org.wasabimount.protocol.peer.Gossip;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;

/** Tests which daemons are accepted when the links between daemons use TLS. */
public class PeerTlsTest {

    private static final VmId RECEIVER = new VmId("receiver");
    private static final long TIMEOUT_SECONDS = 30;
    private static final long REJECTION_WAIT_SECONDS = 2;

    private Path folder;
    private X509Bundle authority;
    private PeerNetwork receiver;
    private PeerNetwork sender;
    private InetSocketAddress address;
    private final CountDownLatch[] received = new CountDownLatch[1];

    @BeforeMethod
    public void listen() throws Exception {
        folder = Files.createTempDirectory("wasabimount-tls");
        authority = new CertificateBuilder()
                .subject("CN=authority")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        received[0] = new CountDownLatch(1);
        receiver = new PeerNetwork(RECEIVER, tls("receiver", authority, authority));
        address = freeAddress();
        receiver.listen(address, envelope -> received[0].countDown());
    }

    @AfterMethod
    public void close() {
        receiver.close();
        sender.close();
    }

    @Test
    public void acceptsDaemonWithKeyOfTheAuthority() throws Exception {
        sender = new PeerNetwork(new VmId("sender"), tls("sender", authority, authority));
        assertTrue(sendUntilReceived(TIMEOUT_SECONDS));
    }

    @Test
    public void refusesDaemonWithKeyOfAnotherAuthority() throws Exception {
        X509Bundle other = new CertificateBuilder()
                .subject("CN=other")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        sender = new PeerNetwork(new VmId("stranger"), tls("stranger", other, authority));
        assertFalse(sendUntilReceived(REJECTION_WAIT_SECONDS));
    }

    @Test
    public void refusesDaemonWithoutTls() throws Exception {
        sender = new PeerNetwork(new VmId("plain"), null);
        assertFalse(sendUntilReceived(REJECTION_WAIT_SECONDS));
    }

    @Test
    public void acceptsDaemonAfterItsKeyWasReplaced() throws Exception {
        X509Bundle other = new CertificateBuilder()
                .subject("CN=other")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        PeerTls tls = tls("sender", other, authority);
        sender = new PeerNetwork(new VmId("sender"), tls);
        assertFalse(sendUntilReceived(REJECTION_WAIT_SECONDS));
        write("sender", authority, authority);
        Files.setLastModifiedTime(
                folder.resolve("sender.crt"),
                java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() + 5_000));
        tls.reloadIfChanged();
        assertTrue(sendUntilReceived(TIMEOUT_SECONDS));
    }

    private boolean sendUntilReceived(long seconds) throws InterruptedException {
        sender.connect(RECEIVER, address);
        for (long attempts = 0; attempts < seconds * 20; attempts++) {
            sender.send(RECEIVER, Envelope.newBuilder().setGossip(Gossip.getDefaultInstance()));
            if (received[0].await(50, TimeUnit.MILLISECONDS)) {
                return true;
            }
        }
        return false;
    }

    private PeerTls tls(String name, X509Bundle issuer, X509Bundle trusted) throws Exception {
        write(name, issuer, trusted);
        return new PeerTls(
                folder.resolve(name + ".crt"), folder.resolve(name + ".key"), folder.resolve(name + ".authority"));
    }

    private void write(String name, X509Bundle issuer, X509Bundle trusted) throws Exception {
        X509Bundle bundle = new CertificateBuilder().subject("CN=" + name).buildIssuedBy(issuer);
        Files.writeString(folder.resolve(name + ".key"), bundle.getPrivateKeyPEM());
        Files.writeString(folder.resolve(name + ".authority"), trusted.getRootCertificatePEM());
        Files.writeString(folder.resolve(name + ".crt"), bundle.getCertificatePathPEM());
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
