package org.wasabimount.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

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

/** One request and its response, after the check of the connection if there is one. Runs on one I/O thread. */
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
    private final Optional<ConnectionCheck> check;
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
    private final int maxResponseBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private IoFuture<StreamConnection> attempt;
    private ClientConnection connection;
    private String process = HttpClient.UNCHECKED;
    private boolean keepAlive;
    private XnioExecutor.Key timeout;
    private boolean sent;
    private boolean ended;

    HttpExchange(
            HttpClient client,
            String address,
            HttpRequest request,
            Optional<ConnectionCheck> check,
            int maxResponseBytes) {
        this.client = client;
        this.address = address;
        this.request = request;
        this.check = check;
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

    /** Sends the request over a connection that has passed the check of a process, or of none. */
    void connected(ClientConnection opened, String checkedProcess) {
        if (ended) {
            close(opened);
            return;
        }
        connection = opened;
        process = checkedProcess;
        check.filter(required -> !required.process().equals(process))
                .ifPresentOrElse(
                        required -> transmit(required.request(), response -> checked(required, response)),
                        this::sendRequest);
    }

    private void checked(ConnectionCheck required, HttpResponse response) {
        if (!required.passes().test(response)) {
            end(HttpOutcome.CHECK_FAILED, response);
        } else if (!keepAlive) {
            end(HttpOutcome.NOT_SENT, null);
        } else {
            process = required.process();
            // The connection takes another request once the listener that has read the response returns.
            connection.getIoThread().execute(this::sendRequest);
        }
    }

    private void sendRequest() {
        if (!ended) {
            sent = true;
            transmit(request, response -> end(HttpOutcome.ANSWERED, response));
        }
    }

    private void transmit(HttpRequest transmitted, Consumer<HttpResponse> receiver) {
        body.reset();
        ClientRequest message =
                new ClientRequest().setMethod(transmitted.method()).setPath(transmitted.path());
        boolean hasHostHeader =
                transmitted.headers().stream().anyMatch(header -> header.name().equals(Headers.HOST));
        if (!hasHostHeader) {
            message.getRequestHeaders().put(Headers.HOST, address);
        }
        message.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(transmitted.body().length));
        transmitted.headers().forEach(header -> message.getRequestHeaders().add(header.name(), header.value()));
        connection.sendRequest(
                message, callback(exchange -> writeBody(exchange, ByteBuffer.wrap(transmitted.body()), receiver)));
    }

    private void writeBody(ClientExchange exchange, ByteBuffer remaining, Consumer<HttpResponse> receiver) {
        exchange.setResponseListener(callback(answered -> readHeaders(answered, receiver)));
        StreamSinkChannel sink = exchange.getRequestChannel();
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
            cutShort();
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            cutShort();
        }
    }

    private void readHeaders(ClientExchange exchange, Consumer<HttpResponse> receiver) {
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> read(exchange, source, receiver));
        read(exchange, source, receiver);
    }

    private void read(ClientExchange exchange, StreamSourceChannel source, Consumer<HttpResponse> receiver) {
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
                    receiver.accept(response(exchange));
                    return;
                }
                body.write(buffer.array(), 0, count);
                if (body.size() > maxResponseBytes) {
                    cutShort();
                    return;
                }
            }
        } catch (IOException e) {
            cutShort();
        }
    }

    /** Returns the response that has been read, and notes whether the server keeps the connection open. */
    private HttpResponse response(ClientExchange exchange) {
        List<HttpHeader> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            if (!HOP_BY_HOP.contains(values.getHeaderName())) {
                values.forEach(value -> headers.add(new HttpHeader(values.getHeaderName(), value)));
            }
        }
        keepAlive = !"close"
                .equalsIgnoreCase(exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
        return new HttpResponse(exchange.getResponse().getResponseCode(), headers, body.toByteArray());
    }

    private void cutShort() {
        end(sent ? HttpOutcome.CUT_SHORT : HttpOutcome.NOT_SENT, null);
    }

    /** Ends the exchange once. Closes the connection unless it can be reused, so that no late response is read. */
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
        if (response != null && keepAlive) {
            client.addIdle(address, connection, process);
        } else if (connection != null) {
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
                cutShort();
            }
        };
    }
}
