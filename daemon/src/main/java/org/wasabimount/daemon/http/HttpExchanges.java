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

/** Reads requests and sends responses and errors. */
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
                    ResultCode.INVALID_VALUE, field + " may contain only lower-case letters, digits, dots and hyphens");
        }
        return name;
    }

    /** Returns the bearer credential of the Authorization header, or an empty string. */
    static String credential(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        return header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    }

    /** Returns the version that a write expects: the one of If-Match, 0 for If-None-Match, else -1 for any version. */
    static long expectedVersion(HttpServerExchange exchange) {
        String match = exchange.getRequestHeaders().getFirst(IF_MATCH);
        if (match != null) {
            return parseNumber("If-Match", match.replace("\"", ""));
        }
        return exchange.getRequestHeaders().contains(Headers.IF_NONE_MATCH) ? 0 : -1;
    }

    /** Returns the id that makes a write safe to repeat; a random one if the request has no Request-Id header. */
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

    /** Sends the reply as JSON, or its error, when the reply completes. */
    void respond(HttpServerExchange exchange, CompletableFuture<Reply> reply, Function<Reply, ObjectNode> json) {
        reply.whenComplete((completedReply, failure) -> {
            if (failure != null) {
                refuse(exchange, Refusal.of(ResultCode.INTERNAL, "the daemon failed because of an internal error"));
            } else if (completedReply.getResultCode() != ResultCode.OK.number()) {
                ResultCode code = ResultCode.of(completedReply.getResultCode());
                refuse(exchange, new Refusal(code, completedReply.getDetail(), completedReply.getRetryAfterMillis()));
            } else {
                send(exchange, ResultCode.OK.httpStatus(), "application/json", bytes(json.apply(completedReply)));
            }
        });
    }

    /** Sends a refusal as a problem document with the number of its result code. */
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
            throw new IllegalStateException("serialising a JSON tree failed", e);
        }
    }
}
