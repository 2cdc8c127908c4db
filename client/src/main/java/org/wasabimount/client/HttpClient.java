package org.wasabimount.client;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;

/** Sends requests, over kept connections where that is safe, and collects whole answers. */
public final class HttpClient {

    private static final int BUFFER_BYTES = 8 << 10;
    private static final long IDLE_MILLIS = 4_000;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioWorker worker;
    private final int maxAnswerBytes;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    private record Idle(ClientConnection connection, long sinceMillis) {}

    /**
     * Creates a client.
     *
     * @param worker the threads for input and output
     * @param maxAnswerBytes largest answer that is taken
     */
    public HttpClient(XnioWorker worker, int maxAnswerBytes) {
        this.worker = worker;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Sends a request.
     *
     * @param address the server's host and port
     * @param request the request
     * @param timeoutMillis after how long the exchange is ended
     * @param reuse whether a kept connection may be used; its loss can't be told from a lost answer
     * @return completed with the end, never exceptionally
     */
    public CompletableFuture<HttpResult> send(String address, HttpRequest request, long timeoutMillis, boolean reuse) {
        XnioIoThread thread = worker.getIoThread(Math.floorMod(address.hashCode(), worker.getIoThreadCount()));
        HttpExchange exchange = new HttpExchange(this, address, request, maxAnswerBytes);
        thread.execute(() -> {
            exchange.timeoutAfter(thread.executeAfter(exchange::timedOut, timeoutMillis, TimeUnit.MILLISECONDS));
            ClientConnection kept = reuse ? takeIdle(address) : null;
            if (kept != null) {
                exchange.connected(kept);
            } else {
                connect(address, thread, exchange);
            }
        });
        return exchange.result();
    }

    /**
     * Sends a request over a connection of its own and waits for the end.
     *
     * @param address the server's host and port
     * @param request the request
     * @param timeoutMillis after how long the exchange is ended
     * @return the end
     */
    public HttpResult call(String address, HttpRequest request, long timeoutMillis) {
        return send(address, request, timeoutMillis, false).join();
    }

    private void connect(String address, XnioIoThread thread, HttpExchange exchange) {
        try {
            URI uri = URI.create("http://" + address);
            IoFuture<ClientConnection> connection = UndertowClient.getInstance().connect(uri, thread, buffers, OPTIONS);
            connection.addNotifier(
                    new IoFuture.HandlingNotifier<ClientConnection, Void>() {
                        @Override
                        public void handleDone(ClientConnection done, Void attachment) {
                            thread.execute(() -> exchange.connected(done));
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

    /** Keeps a connection whose last answer was taken whole. */
    void keep(String address, ClientConnection connection) {
        synchronized (idle) {
            idle.computeIfAbsent(address, absent -> new ArrayDeque<>()).addFirst(new Idle(connection, nowMillis()));
        }
    }

    private ClientConnection takeIdle(String address) {
        synchronized (idle) {
            Deque<Idle> kept = idle.getOrDefault(address, new ArrayDeque<>());
            while (!kept.isEmpty()) {
                Idle next = kept.pollFirst();
                if (next.connection().isOpen() && nowMillis() - next.sinceMillis() < IDLE_MILLIS) {
                    return next.connection();
                }
                HttpExchange.close(next.connection());
            }
            return null;
        }
    }

    /** Closes connections that were idle for long. */
    public void closeIdleConnections() {
        long oldest = nowMillis() - IDLE_MILLIS;
        synchronized (idle) {
            idle.values().forEach(kept -> {
                while (!kept.isEmpty() && kept.peekLast().sinceMillis() < oldest) {
                    HttpExchange.close(kept.pollLast().connection());
                }
            });
            idle.values().removeIf(Deque::isEmpty);
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
