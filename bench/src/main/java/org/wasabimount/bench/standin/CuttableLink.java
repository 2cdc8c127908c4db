package org.wasabimount.bench.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy for connections from one daemon to another that can simulate a silent network partition: while it is cut,
 * connections stay open and new ones are accepted, but no data is forwarded.
 */
public final class CuttableLink implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long POLL_MILLIS = 20;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile boolean closed;

    /**
     * Creates a link and starts to accept connections.
     *
     * @param listen the address to which the sender connects
     * @param target the address on which the receiver listens
     * @throws IOException if the address can't be bound
     */
    public CuttableLink(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.listener = new ServerSocket();
        this.target = target;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(listen.getHostString()), listen.getPort()));
        start(this::accept, "link-accept");
    }

    /** Stops forwarding data without closing connections. */
    public void cut() {
        cut = true;
    }

    /** Resumes forwarding; connections that were open during the cut are closed, as their lost bytes can't be recovered. */
    public void heal() {
        sockets.forEach(CuttableLink::closeQuietly);
        sockets.clear();
        cut = false;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        sockets.forEach(CuttableLink::closeQuietly);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket sender = listener.accept();
                sockets.add(sender);
                start(() -> forward(sender), "link");
            } catch (IOException e) {
                // The listener was closed, or the sender closed its connection before it was accepted.
            }
        }
    }

    private void forward(Socket sender) {
        try {
            awaitUncut(sender);
            Socket receiver = new Socket();
            receiver.setTcpNoDelay(true);
            sender.setTcpNoDelay(true);
            receiver.connect(target, CONNECT_TIMEOUT_MILLIS);
            sockets.add(receiver);
            start(() -> copy(receiver, sender), "link-back");
            copy(sender, receiver);
        } catch (IOException e) {
            closeQuietly(sender);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                awaitUncut(from);
                out.write(buffer, 0, count);
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // Both sockets are closed below.
        }
        closeQuietly(from);
        closeQuietly(to);
        sockets.remove(from);
        sockets.remove(to);
    }

    private void awaitUncut(Socket socket) throws IOException {
        while (cut) {
            if (closed || socket.isClosed()) {
                throw new IOException("closed while the link was cut");
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    private static void start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is no longer used, so a failed close can be ignored.
        }
    }
}
