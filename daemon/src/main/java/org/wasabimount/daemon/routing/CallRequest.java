package org.wasabimount.daemon.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wasabimount.client.HttpHeader;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.core.OrganisationId;
import org.wasabimount.core.ledger.RequestKey;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * A caller's request, with everything that is forwarded to a backend server.
 *
 * @param organisation the caller's organisation
 * @param service the service that is called
 * @param method the HTTP method
 * @param path the path and query after the service's name
 * @param contentType the content type of the body, if any
 * @param body the complete body
 * @param repeatable whether the request may be executed more than once
 * @param key the idempotency key; present if the request is unrepeatable
 * @param deadlineMillis the monotonic time, in milliseconds, after which the caller no longer waits for a response
 */
public record CallRequest(
        OrganisationId organisation,
        String service,
        HttpString method,
        String path,
        Optional<String> contentType,
        byte[] body,
        boolean repeatable,
        Optional<RequestKey> key,
        long deadlineMillis) {

    /** Returns the HTTP request to send to a backend server. */
    HttpRequest toMessage() {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(HttpHeader.of("Wasabimount-Organisation", organisation.name()));
        contentType.ifPresent(type -> headers.add(new HttpHeader(Headers.CONTENT_TYPE, type)));
        key.ifPresent(present -> headers.add(HttpHeader.of("Idempotency-Key", present.toString())));
        return new HttpRequest(method, path, headers, body);
    }
}
