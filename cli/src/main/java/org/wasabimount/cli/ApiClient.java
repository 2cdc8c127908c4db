package org.wasabimount.cli;

import java.io.IOException;
import java.util.List;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpOutcome;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Sends requests to the first entry VM that responds. Only repeatable requests are retried at another entry VM. */
final class ApiClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int CODES_PER_EXIT_STATUS = 100;
    private static final int ATTEMPTS_PER_SERVER = 3;

    private final HttpClient client;
    private final List<String> servers;
    private final String credential;

    ApiClient(HttpClient client, List<String> servers, String credential) {
        this.client = client;
        this.servers = servers;
        this.credential = credential;
    }

    /** Sends a request that may be sent more than once, and returns the JSON of its response. */
    JsonNode sendRepeatable(HttpRequest request, long timeoutMillis) throws CliException {
        HttpResult result = null;
        for (int attempt = 0; attempt < ATTEMPTS_PER_SERVER; attempt++) {
            for (String server : servers) {
                result = send(server, request, timeoutMillis);
                if (result.outcome() == HttpOutcome.ANSWERED) {
                    return json(result);
                }
            }
        }
        throw new CliException(CliException.UNREACHABLE, "no server responded: " + result.outcome());
    }

    /** Sends a service call. Another server is tried only if no byte of the request was sent. */
    HttpResult call(HttpRequest request, long timeoutMillis) throws CliException {
        for (String server : servers) {
            HttpResult result = send(server, request, timeoutMillis);
            if (result.outcome() != HttpOutcome.NOT_SENT) {
                return result;
            }
        }
        throw new CliException(CliException.UNREACHABLE, "no server could be reached");
    }

    /** Throws an exception with the result code if the response has an error status or was lost. */
    static void requireSuccess(HttpResult result) throws CliException {
        if (result.outcome() != HttpOutcome.ANSWERED) {
            throw new CliException(CliException.UNREACHABLE, "no complete response was received: " + result.outcome());
        }
        if (result.response().status() < FIRST_ERROR_STATUS) {
            return;
        }
        JsonNode problem = parse(result.response().body());
        int code = problem.path("code").asInt();
        if (code == 0) {
            throw new CliException(1, "HTTP status " + result.response().status());
        }
        long retryAfterMillis = problem.path("retryAfterMillis").asLong();
        String retryHint = retryAfterMillis > 0 ? "; retry after " + retryAfterMillis + " ms" : "";
        throw new CliException(
                code / CODES_PER_EXIT_STATUS,
                "error " + code + " " + problem.path("title").asText() + ": "
                        + problem.path("detail").asText() + " (outcome: "
                        + problem.path("outcome").asText() + ")" + retryHint);
    }

    private HttpResult send(String server, HttpRequest request, long timeoutMillis) {
        return client.call(server, request.withHeader("Authorization", "Bearer " + credential), timeoutMillis);
    }

    private static JsonNode json(HttpResult result) throws CliException {
        requireSuccess(result);
        return parse(result.response().body());
    }

    private static JsonNode parse(byte[] body) throws CliException {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new CliException(CliException.UNREACHABLE, "the server's response is not JSON");
        }
    }
}
