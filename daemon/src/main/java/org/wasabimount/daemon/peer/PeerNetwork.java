package org.wasabimount.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.Envelope;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/** Sends frames to the other daemons and takes theirs. */
public final class PeerNetwork {

    private static final System.Logger LOG = System.getLogger("wasabimount.peer");
    private static final int MAX_FRAME_BYTES = 64 << 20;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int LOW_WATER_BYTES = 4 << 20;
    private static final int HIGH_WATER_BYTES = 16 << 20;
    private static final long TLS_RELOAD_SECONDS = 2;

    private final VmId self;
    private final PeerTls tls;
    private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile Consumer<Envelope> receiver = envelope -> {};
    private Channel server;

    /**
     * Creates a network without links.
     *
     * @param self this VM
     * @param tls the TLS between daemons, or null to trust every peer that can connect
     */
    public PeerNetwork(VmId self, PeerTls tls) {
        this.self = self;
        this.tls = tls;
        if (tls == null) {
            LOG.log(System.Logger.Level.WARNING, "PEER links have no TLS: every host that connects is trusted");
        } else {
            loops.scheduleWithFixedDelay(
                    tls::reloadIfChanged, TLS_RELOAD_SECONDS, TLS_RELOAD_SECONDS, TimeUnit.SECONDS);
        }
    }

    /**
     * Listens for other daemons.
     *
     * @param address where to listen
     * @param frames takes every frame, on the network's thread
     * @throws IOException if the address can't be bound
     */
    public void listen(InetSocketAddress address, Consumer<Envelope> frames) throws IOException {
        receiver = frames;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(true));
        try {
            server = bootstrap.bind(address).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (RuntimeException e) {
            throw new IOException("cannot bind " + address, e);
        }
    }

    /**
     * Keeps a link to another daemon.
     *
     * @param vm the other VM
     * @param address where it listens
     */
    public void connect(VmId vm, InetSocketAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .handler(new Initializer(false));
        PeerLink link = new PeerLink(bootstrap, address);
        if (links.putIfAbsent(vm, link) == null) {
            link.open();
        }
    }

    /**
     * Closes the link to another daemon for good.
     *
     * @param vm the other VM
     */
    public void disconnect(VmId vm) {
        PeerLink link = links.remove(vm);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Opens the connection to another daemon anew, because frames on it do not arrive.
     *
     * @param vm the other VM
     */
    public void reconnect(VmId vm) {
        PeerLink link = links.get(vm);
        if (link != null) {
            link.reset();
        }
    }

    /**
     * Sends a frame, or drops it if the link is down.
     *
     * @param to the other VM
     * @param frame the frame; the sender is filled in
     * @return false if the frame surely did not leave
     */
    public boolean send(VmId to, Envelope.Builder frame) {
        PeerLink link = links.get(to);
        if (link == null) {
            return false;
        }
        Envelope envelope = frame.setFromVm(self.name()).build();
        boolean sent = link.send(envelope);
        if (sent) {
            sentBytes.addAndGet(envelope.getSerializedSize() + LENGTH_BYTES);
        }
        return sent;
    }

    /**
     * Returns the other daemons.
     *
     * @return their VMs
     */
    public Set<VmId> peers() {
        return links.keySet();
    }

    /**
     * Returns how many links are up.
     *
     * @return the count
     */
    public long connectedLinks() {
        return links.values().stream().filter(PeerLink::connected).count();
    }

    /**
     * Returns the bytes of all frames sent.
     *
     * @return bytes since the start
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns the bytes of all frames received.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    /** Closes every link and the listener. */
    public void close() {
        links.values().forEach(PeerLink::close);
        if (server != null) {
            server.close();
        }
        loops.shutdownGracefully(0, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets up the handlers of a new connection. */
    private final class Initializer extends ChannelInitializer<Channel> {

        private final boolean accepted;

        Initializer(boolean accepted) {
            this.accepted = accepted;
        }

        @Override
        protected void initChannel(Channel channel) {
            ChannelPipeline pipeline = channel.pipeline();
            if (tls != null) {
                pipeline.addLast((accepted ? tls.server() : tls.client()).newHandler(channel.alloc()));
            }
            pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
            pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
            pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
            pipeline.addLast(new ProtobufEncoder());
            pipeline.addLast(new Receiver());
        }
    }

    /** Hands frames to the receiver and closes broken connections. */
    private final class Receiver extends SimpleChannelInboundHandler<Envelope> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            receivedBytes.addAndGet(envelope.getSerializedSize() + LENGTH_BYTES);
            receiver.accept(envelope);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(System.Logger.Level.DEBUG, "PEER connection failed: {0}", cause.getMessage());
            context.close();
        }
    }
}
