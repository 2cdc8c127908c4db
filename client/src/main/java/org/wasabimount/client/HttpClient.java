package org.wasabimount.client;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;

/** Sends requests, over idle connections where that is safe, and collects complete responses. */
public final class HttpClient {

    private static final int BUFFER_BYTES = 8 << 10;
    private static final long IDLE_TIMEOUT_MILLIS = 4_000;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** The process of a connection that has passed no check. */
    static final String UNCHECKED = "";

    private final List<ConnectionOpener> openers;
    private final int maxResponseBytes;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
    private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();

    private record IdleConnection(ClientConnection connection, String process, long sinceMillis) {}

    /**
     * Creates a client.
     *
     * @param worker the I/O threads
     * @param maxResponseBytes largest response body that is accepted
     */
    public HttpClient(XnioWorker worker, int maxResponseBytes) {
        this.openers = IntStream.range(0, worker.getIoThreadCount())
                .mapToObj(number -> new ConnectionOpener(worker.getIoThread(number)))
                .toList();
        this.maxResponseBytes = maxResponseBytes;
    }

    /**
     * Sends a request.
     *
     * @param address the server's host and port
     * @param request the request
     * @param timeoutMillis after how many milliseconds the exchange is ended
     * @param reuseConnection whether an idle connection may be used; the loss of such a connection can't be told apart
     *     from the loss of the response
     * @return completed with the result, never exceptionally
     */
    public CompletableFuture<HttpResult> send(
            String address, HttpRequest request, long timeoutMillis, boolean reuseConnection) {
        return send(address, request, timeoutMillis, reuseConnection, Optional.empty());
    }

    /**
     * Sends a request over a connection that has passed a check: an idle one that has passed it before, or another one after
     * the exchange of the check.
     *
     * @param address the server's host and port
     * @param request the request
     * @param timeoutMillis after how many milliseconds both exchanges are ended
     * @param check the check, which names the process that the request is meant for
     * @return completed with the result, never exceptionally
     */
    public CompletableFuture<HttpResult> send(
            String address, HttpRequest request, long timeoutMillis, ConnectionCheck check) {
        return send(address, request, timeoutMillis, true, Optional.of(check));
    }

    private CompletableFuture<HttpResult> send(
            String address,
            HttpRequest request,
            long timeoutMillis,
            boolean reuseConnection,
            Optional<ConnectionCheck> check) {
        ConnectionOpener opener = openers.get(Math.floorMod(address.hashCode(), openers.size()));
        XnioIoThread thread = opener.thread();
        HttpExchange exchange = new HttpExchange(this, address, request, check, maxResponseBytes);
        thread.execute(() -> {
            exchange.setTimeout(thread.executeAfter(exchange::timedOut, timeoutMillis, TimeUnit.MILLISECONDS));
            Optional<IdleConnection> available =
                    reuseConnection ? takeIdle(address, check.map(ConnectionCheck::process)) : Optional.empty();
            available.ifPresentOrElse(
                    idle -> exchange.connected(idle.connection(), idle.process()),
                    () -> connect(address, opener, exchange));
        });
        return exchange.result();
    }

    /**
     * Sends a request over a new connection and waits for the result.
     *
     * @param address the server's host and port
     * @param request the request
     * @param timeoutMillis after how many milliseconds the exchange is ended
     * @return the result
     */
    public HttpResult call(String address, HttpRequest request, long timeoutMillis) {
        return send(address, request, timeoutMillis, false).join();
    }

    private void connect(String address, ConnectionOpener opener, HttpExchange exchange) {
        XnioIoThread thread = opener.thread();
        try {
            URI uri = URI.create("http://" + address);
            IoFuture<ClientConnection> connection = UndertowClient.getInstance().connect(uri, opener, buffers, OPTIONS);
            exchange.connecting(opener.latestAttempt());
            connection.addNotifier(
                    new IoFuture.HandlingNotifier<ClientConnection, Void>() {
                        @Override
                        public void handleDone(ClientConnection done, Void attachment) {
                            thread.execute(() -> exchange.connected(done, UNCHECKED));
                        }

                        @Override
                        public void handleFailed(IOException exception, Void attachment) {
                            thread.execute(() -> exchange.end(HttpOutcome.NOT_SENT, null));
                        }

                        @Override
                        public void handleCancelled(Void attachment) {
                            thread.execute(() -> exchange.end(HttpOutcome.NOT_SENT, null));
                        }
                    },
                    null);
        } catch (IllegalArgumentException e) {
            exchange.end(HttpOutcome.NOT_SENT, null);
        }
    }

    /** Keeps a connection for reuse; its last response has been read completely. */
    void addIdle(String address, ClientConnection connection, String process) {
        synchronized (idleConnections) {
            idleConnections
                    .computeIfAbsent(address, absent -> new ArrayDeque<>())
                    .addFirst(new IdleConnection(connection, process, nowMillis()));
        }
    }

    /**
     * Takes the idle connection that was used last: any if no process is named, otherwise one that has passed the check of
     * that process, or else one that has passed no check.
     */
    private Optional<IdleConnection> takeIdle(String address, Optional<String> process) {
        synchronized (idleConnections) {
            Deque<IdleConnection> idle = idleConnections.getOrDefault(address, new ArrayDeque<>());
            closeUnusable(idle);
            Optional<IdleConnection> taken = idle.stream()
                    .filter(next -> process.map(next.process()::equals).orElse(true))
                    .findFirst()
                    .or(() -> idle.stream()
                            .filter(next -> next.process().equals(UNCHECKED))
                            .findFirst());
            taken.ifPresent(idle::remove);
            return taken;
        }
    }

    private static void closeUnusable(Deque<IdleConnection> idle) {
        long oldest = nowMillis() - IDLE_TIMEOUT_MILLIS;
        idle.removeIf(next -> {
            boolean unusable = !next.connection().isOpen() || next.sinceMillis() <= oldest;
            if (unusable) {
                HttpExchange.close(next.connection());
            }
            return unusable;
        });
    }

    /** Closes the connections that have been idle longer than the idle timeout. */
    public void closeIdleConnections() {
        synchronized (idleConnections) {
            idleConnections.values().forEach(HttpClient::closeUnusable);
            idleConnections.values().removeIf(Deque::isEmpty);
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
