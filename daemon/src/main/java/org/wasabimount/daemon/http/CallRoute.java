package org.wasabimount.daemon.http;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.wasabimount.client.HttpResponse;
import org.wasabimount.core.Clock;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.core.ledger.RequestKey;
import org.wasabimount.daemon.cell.Directory;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.metrics.DaemonMetrics;
import org.wasabimount.daemon.routing.CallRequest;
import org.wasabimount.daemon.routing.RoutingThread;
import org.wasabimount.daemon.routing.UnrepeatableCalls;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.vavr.control.Either;

/** Callers' requests to backend servers. */
final class CallRoute implements Route {

    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString TIMEOUT = new HttpString("Request-Timeout-Millis");
    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final long DRAINING_RETRY_MILLIS = 100;
    private static final Set<HttpString> REPEATABLE_METHODS =
            Set.of(Methods.GET, Methods.HEAD, Methods.OPTIONS, Methods.PUT, Methods.DELETE);

    private final HttpExchanges exchanges;
    private final RoutingThread routing;
    private final UnrepeatableCalls unrepeatable;
    private final Supplier<Directory> directory;
    private final BooleanSupplier refusesCalls;
    private final Clock clock;
    private final DaemonMetrics metrics;

    CallRoute(
            HttpExchanges exchanges,
            RoutingThread routing,
            UnrepeatableCalls unrepeatable,
            Supplier<Directory> directory,
            BooleanSupplier refusesCalls,
            Clock clock,
            DaemonMetrics metrics) {
        this.exchanges = exchanges;
        this.routing = routing;
        this.unrepeatable = unrepeatable;
        this.directory = directory;
        this.refusesCalls = refusesCalls;
        this.clock = clock;
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpServerExchange exchange, String[] path, byte[] body) {
        Directory current = directory.get();
        OrganisationId organisation = current.authenticate(HttpExchanges.credential(exchange))
                .orElseThrow(() ->
                        new BadRequestException(ResultCode.UNAUTHENTICATED, "the credential is missing or wrong"));
        if (refusesCalls.getAsBoolean()) {
            exchanges.refuse(
                    exchange, new Refusal(ResultCode.DRAINING, "this entry VM is stopping", DRAINING_RETRY_MILLIS));
            return;
        }
        if (path.length == 0) {
            throw new BadRequestException(ResultCode.NO_SUCH_ROUTE, "the path names no service");
        }
        CallRequest request = read(exchange, organisation, path, body, current);
        CompletableFuture<Either<Refusal, HttpResponse>> result =
                request.key().isPresent() ? unrepeatable.call(request) : routing.call(request);
        result.whenComplete((answer, failure) -> {
            if (failure != null) {
                exchanges.refuse(exchange, Refusal.of(ResultCode.INTERNAL, "the daemon failed"));
            } else if (answer.isLeft()) {
                exchanges.refuse(exchange, answer.getLeft());
            } else {
                deliver(exchange, answer.get());
            }
        });
    }

    private CallRequest read(
            HttpServerExchange exchange, OrganisationId organisation, String[] path, byte[] body, Directory current) {
        String service = HttpExchanges.requireName("service", path[0]);
        Optional<RequestKey> key = key(exchange);
        String timeout = exchange.getRequestHeaders().getFirst(TIMEOUT);
        long timeoutMillis = timeout == null
                ? current.read(ConfigurationKey.DEFAULT_DEADLINE)
                : HttpExchanges.parseNumber("Request-Timeout-Millis", timeout);
        if (timeoutMillis <= 0 || timeoutMillis > MAX_TIMEOUT_MILLIS) {
            throw new BadRequestException(
                    ResultCode.INVALID_VALUE, "Request-Timeout-Millis must be from 1 to " + MAX_TIMEOUT_MILLIS);
        }
        boolean repeatable = key.isEmpty() && REPEATABLE_METHODS.contains(exchange.getRequestMethod());
        return new CallRequest(
                organisation,
                service,
                exchange.getRequestMethod(),
                target(exchange, service),
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE)),
                body,
                repeatable,
                key,
                clock.millis() + timeoutMillis);
    }

    private static Optional<RequestKey> key(HttpServerExchange exchange) {
        String text = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
        if (text == null) {
            return Optional.empty();
        }
        return Optional.of(RequestKey.parse(text.replace("\"", ""))
                .orElseThrow(() -> new BadRequestException(
                        ResultCode.BAD_KEY, "Idempotency-Key must be a version 7 UUID, or a domain, a colon and one")));
    }

    private static String target(HttpServerExchange exchange, String service) {
        String whole = exchange.getRequestURI();
        String rest = whole.substring(whole.indexOf(service) + service.length());
        String query = exchange.getQueryString();
        return (rest.isEmpty() ? "/" : rest) + (query.isEmpty() ? "" : "?" + query);
    }

    private void deliver(HttpServerExchange exchange, HttpResponse answer) {
        metrics.answered();
        exchange.setStatusCode(answer.status());
        answer.headers().forEach(header -> exchange.getResponseHeaders().add(header.name(), header.value()));
        exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(answer.body()));
    }
}
