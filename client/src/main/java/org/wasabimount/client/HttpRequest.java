package org.wasabimount.client;

import java.util.ArrayList;
import java.util.List;

import io.undertow.util.HttpString;

/**
 * A request with its complete body.
 *
 * @param method the method
 * @param path the path and query
 * @param headers the headers, without Host and Content-Length
 * @param body the complete body
 */
public record HttpRequest(HttpString method, String path, List<HttpHeader> headers, byte[] body) {

    /**
     * Creates a request without headers.
     *
     * @param method the method's name
     * @param path the path and query
     * @param body the complete body
     * @return the request
     */
    public static HttpRequest of(String method, String path, byte[] body) {
        return new HttpRequest(new HttpString(method), path, List.of(), body);
    }

    /**
     * Returns a copy of this request with one more header.
     *
     * @param name the header's name
     * @param value the header's value
     * @return the copy
     */
    public HttpRequest withHeader(String name, String value) {
        List<HttpHeader> extended = new ArrayList<>(headers);
        extended.add(HttpHeader.of(name, value));
        return new HttpRequest(method, path, extended, body);
    }
}
