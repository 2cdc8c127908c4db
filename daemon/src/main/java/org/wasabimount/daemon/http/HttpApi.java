package org.wasabimount.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.wasabimount.core.Clock;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.metrics.DaemonMetrics;
import org.wasabimount.daemon.peer.OperationGateway;
import org.wasabimount.daemon.routing.RoutingThread;
import org.wasabimount.daemon.routing.UnrepeatableCalls;
import org.wasabimount.daemon.settings.DaemonSettings;
import org.xnio.Options;
import org.xnio.XnioWorker;

import com.fasterxml.jackson.databind.node.ObjectNode;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

/** The HTTP server of one daemon. */
public final class HttpApi {

    private static final System.Logger LOG = System.getLogger("wasabimount.http");
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_HEADERS = 64;
    private static final int MAX_PARAMETERS = 32;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    private static final int BUFFER_BYTES = 8 << 10;
    private static final int BACKLOG = 1_024;

    private final HttpExchanges exchanges;
    private final DaemonMetrics metrics;
    private final Map<String, Route> routes;
    private final BooleanSupplier ready;
    private final ClientRateLimit rateLimit;
    private final Undertow server;

    /**
     * What the routes need.
     *
     * @param settings the daemon's settings
     * @param gateway reaches the groups' leaders
     * @param routing routes requests
     * @param unrepeatable runs requests with a key
     * @param directory the cell's directory as last seen
     * @param ready tells whether the balancer may send requests here
     * @param refusesCalls tells whether new calls are refused because the daemon stops
     * @param localStatus what this VM knows of itself
     * @param drain begins a graceful stop
     * @param clock monotonic time
     * @param metrics counts
     */
    public record Dependencies(
            DaemonSettings settings,
            OperationGateway gateway,
            RoutingThread routing,
            UnrepeatableCalls unrepeatable,
            Supplier<Directory> directory,
            BooleanSupplier ready,
            BooleanSupplier refusesCalls,
            Supplier<ObjectNode> localStatus,
            Runnable drain,
            Clock clock,
            DaemonMetrics metrics) {}

    /**
     * Creates the server; {@link #start} opens its port.
     *
     * @param dependencies what the routes need
     * @param worker the threads for input and output
     */
    public HttpApi(Dependencies dependencies, XnioWorker worker) {
        DaemonSettings settings = dependencies.settings();
        this.metrics = dependencies.metrics();
        this.exchanges = new HttpExchanges(metrics);
        this.ready = dependencies.ready();
        this.rateLimit = new ClientRateLimit(settings.limits().maxClientRequestsPerSecond(), dependencies.clock());
        this.routes = Map.of(
                "v1", new ResourceRoute(exchanges, dependencies.gateway(), dependencies.directory()),
                "platform",
                        new PlatformRoute(
                                exchanges,
                                dependencies.gateway(),
                                dependencies.routing(),
                                settings.platformSecretHash()),
                "admin",
                        new AdminRoute(
                                exchanges,
                                dependencies.gateway(),
                                settings.adminSecretHash(),
                                dependencies.localStatus(),
                                dependencies.drain()),
                "call",
                        new CallRoute(
                                exchanges,
                                dependencies.routing(),
                                dependencies.unrepeatable(),
                                dependencies.directory(),
                                dependencies.refusesCalls(),
                                dependencies.clock(),
                                metrics));
        InetSocketAddress address = settings.httpAddress();
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString(), this::handle)
                .setWorker(worker)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(true)
                .setSocketOption(Options.BACKLOG, BACKLOG)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long)
                        settings.limits().maxBodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .build();
    }

    /** Opens the port. */
    public void start() {
        server.start();
    }

    /**
     * Returns the bytes that clients sent.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return server.getListenerInfo().stream()
                .mapToLong(listener -> listener.getConnectorStatistics().getBytesReceived())
                .sum();
    }

    /**
     * Returns the bytes that clients were sent.
     *
     * @return bytes since the start
     */
    public long sentBytes() {
        return server.getListenerInfo().stream()
                .mapToLong(listener -> listener.getConnectorStatistics().getBytesSent())
                .sum();
    }

    /** Closes the port and every connection. */
    public void stop() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        String[] path = Arrays.stream(exchange.getRequestPath().split("/"))
                .filter(segment -> !segment.isEmpty())
                .toArray(String[]::new);
        String first = path.length == 0 ? "" : path[0];
        if (!rateLimit.admit(exchange.getSourceAddress())) {
            exchanges.refuse(
                    exchange, new Refusal(ResultCode.RATE_LIMITED, "this client sends too many requests", 1_000));
        } else if (first.equals("healthz")) {
            text(exchange, ResultCode.OK.httpStatus(), "ok");
        } else if (first.equals("readyz")) {
            boolean isReady = ready.getAsBoolean();
            text(exchange, (isReady ? ResultCode.OK : ResultCode.NOT_READY).httpStatus(), isReady ? "ready" : "not");
        } else if (first.equals("metrics")) {
            writeMetrics(exchange);
        } else if (routes.containsKey(first)) {
            receive(exchange, routes.get(first), Arrays.copyOfRange(path, 1, path.length));
        } else {
            exchanges.refuse(exchange, Refusal.of(ResultCode.NO_SUCH_ROUTE, "there is nothing at this path"));
        }
    }

    private void receive(HttpServerExchange exchange, Route route, String[] path) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(SameThreadExecutor.INSTANCE, () -> run(received, route, path, body)),
                        (failed, error) ->
                                failed.dispatch(SameThreadExecutor.INSTANCE, () -> refuseBody(failed, error)));
    }

    private void run(HttpServerExchange exchange, Route route, String[] path, byte[] body) {
        try {
            route.handle(exchange, path, body);
        } catch (BadRequestException e) {
            exchanges.refuse(exchange, e.refusal());
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "HTTP a request failed", e);
            exchanges.refuse(exchange, Refusal.of(ResultCode.INTERNAL, "the daemon failed"));
        }
    }

    private void refuseBody(HttpServerExchange exchange, IOException error) {
        boolean tooLarge = error instanceof Receiver.RequestToLargeException
                || error instanceof io.undertow.server.RequestTooBigException;
        Refusal refusal = tooLarge
                ? Refusal.of(ResultCode.TOO_LARGE, "the body is larger than the limit")
                : Refusal.of(ResultCode.MALFORMED, "the body could not be read");
        exchange.setPersistent(false);
        exchanges.refuse(exchange, refusal);
    }

    private void writeMetrics(HttpServerExchange exchange) {
        HttpExchanges.send(
                exchange, ResultCode.OK.httpStatus(), "text/plain; version=0.0.4; charset=utf-8", metrics.text());
    }

    private static void text(HttpServerExchange exchange, int status, String text) {
        HttpExchanges.send(exchange, status, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }
}
