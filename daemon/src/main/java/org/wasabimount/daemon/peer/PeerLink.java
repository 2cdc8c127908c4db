package org.wasabimount.daemon.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import org.wasabimount.protocol.peer.Envelope;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** The outgoing connection to one other daemon, which is re-established whenever it is lost. */
final class PeerLink {

    private static final long RECONNECT_DELAY_MILLIS = 200;

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final Runnable openListener;
    private volatile Channel channel;
    private volatile boolean closed;

    PeerLink(Bootstrap bootstrap, InetSocketAddress address, Runnable openListener) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.openListener = openListener;
    }

    void open() {
        if (!closed) {
            bootstrap.connect(address).addListener((ChannelFuture connect) -> connected(connect));
        }
    }

    /** Sends a frame, or drops it if the link is down or congested. Returns whether the frame was sent. */
    boolean send(Envelope envelope) {
        Channel current = channel;
        if (current == null || !current.isWritable()) {
            return false;
        }
        current.writeAndFlush(envelope, current.voidPromise());
        return true;
    }

    /** Closes the connection; a new one is opened after {@link #RECONNECT_DELAY_MILLIS}. */
    void reset() {
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    boolean connected() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    void close() {
        closed = true;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
    }

    private void connected(ChannelFuture connect) {
        if (connect.isSuccess()) {
            channel = connect.channel();
            channel.closeFuture().addListener(lost -> reopen());
            openListener.run();
        } else {
            reopen();
        }
    }

    private void reopen() {
        channel = null;
        if (!closed) {
            bootstrap.config().group().schedule(this::open, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
