package org.wasabimount.daemon.http;

import org.wasabimount.daemon.json.BadRequestException;

import io.undertow.server.HttpServerExchange;

/** Handles the requests under one prefix of paths. */
interface Route {

    /**
     * Handles a request whose body was read. It is answered now or later.
     *
     * @param exchange the request
     * @param path the segments of the path behind the prefix
     * @param body the whole body
     * @throws BadRequestException if the request can't be used
     */
    void handle(HttpServerExchange exchange, String[] path, byte[] body);
}
