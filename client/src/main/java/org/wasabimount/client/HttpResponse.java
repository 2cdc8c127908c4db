package org.wasabimount.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.undertow.util.HttpString;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers that concern the answer, not the connection
 * @param body the whole body
 */
public record HttpResponse(int status, List<HttpHeader> headers, byte[] body) {

    /**
     * Returns a header.
     *
     * @param name the header's name
     * @return its first value, or nothing
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
     * @return the body read as UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
