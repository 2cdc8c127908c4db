package org.wasabimount.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** One request and its response. Runs on one I/O thread. */
final class HttpExchange {

    private static final int READ_BUFFER_BYTES = 8 << 10;
    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            Headers.TRANSFER_ENCODING,
            Headers.CONTENT_LENGTH,
            Headers.KEEP_ALIVE,
            Headers.UPGRADE,
            Headers.TRAILER,
            Headers.DATE,
            new HttpString("Proxy-Connection"));

    private final HttpClient client;
    private final String address;
    private final HttpRequest request;
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
    private final int maxResponseBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private IoFuture<StreamConnection> attempt;
    private ClientConnection connection;
    private XnioExecutor.Key timeout;
    private boolean sent;
    private boolean ended;

    HttpExchange(HttpClient client, String address, HttpRequest request, int maxResponseBytes) {
        this.client = client;
        this.address = address;
        this.request = request;
        this.maxResponseBytes = maxResponseBytes;
    }

    CompletableFuture<HttpResult> result() {
        return result;
    }

    void setTimeout(XnioExecutor.Key key) {
        timeout = key;
    }

    void timedOut() {
        end(sent ? HttpOutcome.TIMED_OUT : HttpOutcome.NOT_SENT, null);
    }

    void connecting(IoFuture<StreamConnection> started) {
        attempt = started;
    }

    void connected(ClientConnection opened) {
        if (ended) {
            close(opened);
            return;
        }
        connection = opened;
        sent = true;
        ClientRequest message = new ClientRequest().setMethod(request.method()).setPath(request.path());
        boolean hasHostHeader =
                request.headers().stream().anyMatch(header -> header.name().equals(Headers.HOST));
        if (!hasHostHeader) {
            message.getRequestHeaders().put(Headers.HOST, address);
        }
        message.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(request.body().length));
        request.headers().forEach(header -> message.getRequestHeaders().add(header.name(), header.value()));
        connection.sendRequest(message, callback(this::writeBody));
    }

    private void writeBody(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::readHeaders));
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer remaining = ByteBuffer.wrap(request.body());
        sink.getWriteSetter().set(channel -> write(sink, remaining));
        write(sink, remaining);
    }

    private void write(StreamSinkChannel sink, ByteBuffer remaining) {
        try {
            while (remaining.hasRemaining()) {
                if (sink.write(remaining) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set(channel -> flush(sink));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            end(HttpOutcome.CUT_SHORT, null);
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            end(HttpOutcome.CUT_SHORT, null);
        }
    }

    private void readHeaders(ClientExchange exchange) {
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> read(exchange, source));
        read(exchange, source);
    }

    private void read(ClientExchange exchange, StreamSourceChannel source) {
        if (ended) {
            return;
        }
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        try {
            while (true) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    responseReceived(exchange);
                    return;
                }
                body.write(buffer.array(), 0, count);
                if (body.size() > maxResponseBytes) {
                    end(HttpOutcome.CUT_SHORT, null);
                    return;
                }
            }
        } catch (IOException e) {
            end(HttpOutcome.CUT_SHORT, null);
        }
    }

    private void responseReceived(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            if (!HOP_BY_HOP.contains(values.getHeaderName())) {
                values.forEach(value -> headers.add(new HttpHeader(values.getHeaderName(), value)));
            }
        }
        boolean keepAlive = !"close"
                .equalsIgnoreCase(exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
        if (keepAlive && !ended) {
            client.addIdle(address, connection);
            connection = null;
        }
        end(HttpOutcome.ANSWERED, new HttpResponse(status, headers, body.toByteArray()));
    }

    /** Ends the exchange once. Closes the connection unless it is kept for reuse, so that no late response is read. */
    void end(HttpOutcome outcome, HttpResponse response) {
        if (ended) {
            return;
        }
        ended = true;
        timeout.remove();
        if (attempt != null && !sent) {
            // The system gives up an attempt without a response only after minutes.
            attempt.cancel();
        }
        if (connection != null) {
            close(connection);
        }
        result.complete(new HttpResult(outcome, response));
    }

    static void close(ClientConnection connection) {
        IoUtils.safeClose(connection);
    }

    private interface ExchangeHandler {
        void handle(ClientExchange exchange);
    }

    private ClientCallback<ClientExchange> callback(ExchangeHandler handler) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                handler.handle(exchange);
            }

            @Override
            public void failed(IOException e) {
                end(HttpOutcome.CUT_SHORT, null);
            }
        };
    }
}
