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

/** Sends frames to the other daemons and receives frames from them. */
public final class PeerNetwork implements PeerLinks {

    private static final System.Logger LOG = System.getLogger("wasabimount.peer");
    private static final int MAX_FRAME_BYTES = 64 << 20;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int LOW_WATER_BYTES = 4 << 20;
    private static final int HIGH_WATER_BYTES = 16 << 20;
    private static final long TLS_RELOAD_SECONDS = 2;

    private final VmId self;
    private final PeerTls tls;
    private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile Consumer<Envelope> receiver = envelope -> {};
    private volatile Consumer<VmId> linkListener = vm -> {};
    private Channel server;

    /**
     * Creates a network without links.
     *
     * @param self this VM
     * @param tls the TLS configuration, or null for plain connections, which trust every peer that can connect
     */
    public PeerNetwork(VmId self, PeerTls tls) {
        this.self = self;
        this.tls = tls;
        if (tls == null) {
            LOG.log(System.Logger.Level.WARNING, "PEER links do not use TLS: every host that connects is trusted");
        } else {
            eventLoops.scheduleWithFixedDelay(
                    tls::reloadIfChanged, TLS_RELOAD_SECONDS, TLS_RELOAD_SECONDS, TimeUnit.SECONDS);
        }
    }

    /**
     * Starts to accept connections of other daemons.
     *
     * @param address the address to bind
     * @param frames called with every received frame, on the event loop's thread
     * @throws IOException if the address can't be bound
     */
    public void listen(InetSocketAddress address, Consumer<Envelope> frames) throws IOException {
        receiver = frames;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ConnectionInitializer(true));
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
     * Sets the listener that is called whenever a connection to another daemon is established.
     *
     * @param listener receives the other VM, on the event loop's thread
     */
    public void setLinkListener(Consumer<VmId> listener) {
        linkListener = listener;
    }

    @Override
    public void connect(VmId vm, InetSocketAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .handler(new ConnectionInitializer(false));
        PeerLink link = new PeerLink(bootstrap, address, () -> linkListener.accept(vm));
        if (links.putIfAbsent(vm, link) == null) {
            link.open();
        }
    }

    @Override
    public void disconnect(VmId vm) {
        PeerLink link = links.remove(vm);
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void reconnect(VmId vm) {
        PeerLink link = links.get(vm);
        if (link != null) {
            link.reset();
        }
    }

    @Override
    public boolean send(VmId to, Envelope.Builder frame) {
        PeerLink link = links.get(to);
        if (link == null) {
            return false;
        }
        Envelope envelope = frame.setFromVm(self.name()).build();
        int frameBytes = envelope.getSerializedSize() + LENGTH_FIELD_BYTES;
        if (frameBytes > MAX_FRAME_BYTES) {
            // The receiver would close the connection, with all frames that wait behind this one.
            LOG.log(
                    System.Logger.Level.WARNING,
                    "PEER frame too long to={0} body={1} bytes={2}",
                    to,
                    envelope.getBodyCase(),
                    Integer.toString(frameBytes));
            return false;
        }
        boolean sent = link.send(envelope);
        if (sent) {
            sentBytes.addAndGet(frameBytes);
        }
        return sent;
    }

    /**
     * Returns the VMs to which links are kept.
     *
     * @return the VMs
     */
    public Set<VmId> peers() {
        return links.keySet();
    }

    /**
     * Returns the number of links that are up.
     *
     * @return the count
     */
    public long connectedLinks() {
        return links.values().stream().filter(PeerLink::connected).count();
    }

    /**
     * Returns the total size of all sent frames.
     *
     * @return the size in bytes since the start of the process
     */
    public long sentBytes() {
        return sentBytes.get();
    }

    /**
     * Returns the total size of all received frames.
     *
     * @return the size in bytes since the start of the process
     */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    /** Closes all links and stops accepting connections. */
    public void close() {
        links.values().forEach(PeerLink::close);
        if (server != null) {
            server.close();
        }
        eventLoops.shutdownGracefully(0, CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets up the handlers of a new connection. */
    private final class ConnectionInitializer extends ChannelInitializer<Channel> {

        private final boolean accepted;

        ConnectionInitializer(boolean accepted) {
            this.accepted = accepted;
        }

        @Override
        protected void initChannel(Channel channel) {
            ChannelPipeline pipeline = channel.pipeline();
            if (tls != null) {
                pipeline.addLast((accepted ? tls.server() : tls.client()).newHandler(channel.alloc()));
            }
            pipeline.addLast(
                    new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
            pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
            pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
            pipeline.addLast(new ProtobufEncoder());
            pipeline.addLast(new FrameHandler());
        }
    }

    /** Passes received frames to the receiver and closes a connection after an error. */
    private final class FrameHandler extends SimpleChannelInboundHandler<Envelope> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            receivedBytes.addAndGet(envelope.getSerializedSize() + LENGTH_FIELD_BYTES);
            receiver.accept(envelope);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(System.Logger.Level.DEBUG, "PEER connection failed: {0}", cause.getMessage());
            context.close();
        }
    }
}
