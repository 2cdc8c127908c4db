package org.wasabimount.client;

import io.undertow.util.HttpString;

/**
 * One header of a request or a response.
 *
 * @param name the name
 * @param value the value
 */
public record HttpHeader(HttpString name, String value) {

    /**
     * Creates a header.
     *
     * @param name the name
     * @param value the value
     * @return the header
     */
    public static HttpHeader of(String name, String value) {
        return new HttpHeader(new HttpString(name), value);
    }
}
