package org.wasabimount.daemon.http;

import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.wasabimount.core.Names;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.daemon.json.BadRequestException;
import org.wasabimount.daemon.json.JsonFields;
import org.wasabimount.daemon.metrics.DaemonMetrics;
import org.wasabimount.protocol.cell.Reply;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** Reads requests and writes answers and errors. */
final class HttpExchanges {

    private static final HttpString IF_MATCH = new HttpString("If-Match");
    private static final HttpString REQUEST_ID = new HttpString("Request-Id");
    private static final String BEARER = "Bearer ";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final DaemonMetrics metrics;

    HttpExchanges(DaemonMetrics metrics) {
        this.metrics = metrics;
    }

    static String requireName(String field, String name) {
        if (!Names.valid(name)) {
            throw new BadRequestException(
                    ResultCode.INVALID_VALUE, field + " must have lower-case letters, digits, dots and hyphens only");
        }
        return name;
    }

    /** Returns the credential of an Authorization header, or an empty text. */
    static String credential(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    }

    /** Returns the version that a write expects: from If-Match, zero for If-None-Match, else any. */
    static long expectedVersion(HttpServerExchange exchange) {
        String match = exchange.getRequestHeaders().getFirst(IF_MATCH);
        if (match != null) {
            return parseNumber("If-Match", match.replace("\"", ""));
        }
        return exchange.getRequestHeaders().contains(Headers.IF_NONE_MATCH) ? 0 : -1;
    }

    /** Returns the id under which a write may be sent again; a fresh one if the operator gave none. */
    static String requestId(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        return id == null ? java.util.UUID.randomUUID().toString() : id;
    }

    static long queryNumber(HttpServerExchange exchange, String name, long defaultValue) {
        return query(exchange, name).map(text -> parseNumber(name, text)).orElse(defaultValue);
    }

    static Optional<String> query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    static long parseNumber(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadRequestException(
                    ResultCode.INVALID_VALUE, name + " must be a whole number, not \"" + text + "\"");
        }
    }

    /** Answers with the JSON of a reply once it comes, or with its error. */
    void answer(HttpServerExchange exchange, CompletableFuture<Reply> reply, Function<Reply, ObjectNode> json) {
        reply.whenComplete((done, failure) -> {
            if (failure != null) {
                refuse(exchange, Refusal.of(ResultCode.INTERNAL, "the daemon failed"));
            } else if (done.getResultCode() != ResultCode.OK.number()) {
                ResultCode code = ResultCode.of(done.getResultCode());
                refuse(exchange, new Refusal(code, done.getDetail(), done.getRetryAfterMillis()));
            } else {
                send(exchange, ResultCode.OK.httpStatus(), "application/json", bytes(json.apply(done)));
            }
        });
    }

    /** Answers with a numbered error. */
    void refuse(HttpServerExchange exchange, Refusal refusal) {
        metrics.requestRefused(refusal.code());
        ResultCode code = refusal.code();
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        ObjectNode problem = JsonFields.MAPPER
                .createObjectNode()
                .put("title", code.name())
                .put("status", code.httpStatus())
                .put("detail", refusal.detail())
                .put("code", code.number())
                .put("outcome", code.outcome().name())
                .put("retryAfterMillis", refusal.retryAfterMillis());
        send(exchange, code.httpStatus(), "application/problem+json", bytes(problem));
    }

    static void send(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    static byte[] bytes(ObjectNode json) {
        try {
            return JsonFields.MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
    }
}
