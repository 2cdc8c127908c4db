package org.wasabimount.daemon.http;

import org.wasabimount.daemon.json.BadRequestException;

import io.undertow.server.HttpServerExchange;

/** Handles the requests under one path prefix. */
interface Route {

    /**
     * Handles a request whose body has been read. The response may be sent after this method returns.
     *
     * @param exchange the HTTP exchange
     * @param path the path segments after the prefix
     * @param body the complete body
     * @throws BadRequestException if the request is invalid
     */
    void handle(HttpServerExchange exchange, String[] path, byte[] body);
}
