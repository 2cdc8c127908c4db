package org.wasabimount.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.undertow.util.HttpString;

/**
 * A complete response.
 *
 * @param status the HTTP status
 * @param headers the headers, without those that concern only the connection
 * @param body the complete body
 */
public record HttpResponse(int status, List<HttpHeader> headers, byte[] body) {

    /**
     * Returns the value of a header.
     *
     * @param name the header's name
     * @return its first value, or empty if the response has no such header
     */
    public Optional<String> header(HttpString name) {
        return headers.stream()
                .filter(header -> header.name().equals(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /**
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
