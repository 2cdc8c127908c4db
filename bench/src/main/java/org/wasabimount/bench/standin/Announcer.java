package org.wasabimount.bench.standin;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Posts announcements to one entry VM at a time and can switch to the next one. */
final class Announcer {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient httpClient;
    private final List<String> entryAddresses;
    private final String secret;
    private int entryIndex;

    Announcer(HttpClient httpClient, List<String> entryAddresses, String secret, int firstEntryIndex) {
        this.httpClient = httpClient;
        this.entryAddresses = entryAddresses;
        this.secret = secret;
        this.entryIndex = firstEntryIndex;
    }

    /** Posts to the current entry VM. */
    CompletableFuture<HttpResult> post(String path, ObjectNode body, long timeoutMillis) {
        try {
            HttpRequest httpRequest = HttpRequest.of("POST", path, MAPPER.writeValueAsBytes(body))
                    .withHeader("Authorization", "Bearer " + secret)
                    .withHeader("Content-Type", "application/json");
            return httpClient.send(
                    entryAddresses.get(Math.floorMod(entryIndex, entryAddresses.size())),
                    httpRequest,
                    timeoutMillis,
                    true);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be serialised", e);
        }
    }

    /** Switches to the next entry VM, as a load balancer does. */
    void next() {
        entryIndex++;
    }
}
