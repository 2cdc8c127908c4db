package org.wasabimount.bench.standin;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Posts announcements to one entry VM after the other. */
final class Announcer {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final List<String> servers;
    private final String secret;
    private int turn;

    Announcer(HttpClient client, List<String> servers, String secret, int firstTurn) {
        this.client = client;
        this.servers = servers;
        this.secret = secret;
        this.turn = firstTurn;
    }

    /** Posts to the current entry VM. */
    CompletableFuture<HttpResult> post(String path, ObjectNode body, long timeoutMillis) {
        try {
            HttpRequest message = HttpRequest.of("POST", path, MAPPER.writeValueAsBytes(body))
                    .withHeader("Authorization", "Bearer " + secret)
                    .withHeader("Content-Type", "application/json");
            return client.send(servers.get(Math.floorMod(turn, servers.size())), message, timeoutMillis, true);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
    }

    /** Turns to the next entry VM, as a balancer would. */
    void next() {
        turn++;
    }
}
