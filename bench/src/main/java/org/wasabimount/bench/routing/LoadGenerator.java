package org.wasabimount.bench.routing;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.wasabimount.bench.cell.CellAccess;
import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpOutcome;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Callers that send at a given rate, whatever becomes of their requests, and check every answer. */
final class LoadGenerator {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_OPEN = 4_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 3_000;
    private static final int UNREPEATABLE_EVERY = 50;

    private final HttpClient client;
    private final List<String> servers;
    private final Random random = new Random(3);
    private final Semaphore open = new Semaphore(MAX_OPEN);
    private final AtomicLong nextId = new AtomicLong();

    /**
     * A caller's share of the load.
     *
     * @param organisation the organisation
     * @param share its part of all requests
     */
    record Share(String organisation, double share) {}

    LoadGenerator(HttpClient client, List<String> servers) {
        this.client = client;
        this.servers = servers;
    }

    /** Sends at a rate for a time, and waits until every request has its end. */
    RoutingPhase run(String name, double perSecond, double seconds, List<Share> shares) {
        RoutingPhase phase = new RoutingPhase(name, seconds);
        long startNanos = System.nanoTime();
        long count = Math.round(perSecond * seconds);
        for (long number = 0; number < count; number++) {
            long dueNanos = startNanos + (long) (number / perSecond * 1e9);
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.min(1_000_000, dueNanos - System.nanoTime()));
            }
            if (open.tryAcquire()) {
                send(phase, pick(shares));
            }
        }
        awaitEnd();
        return phase;
    }

    private void awaitEnd() {
        try {
            if (open.tryAcquire(MAX_OPEN, TIMEOUT_MILLIS + 2 * GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                open.release(MAX_OPEN);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String pick(List<Share> shares) {
        double left =
                random.nextDouble() * shares.stream().mapToDouble(Share::share).sum();
        for (Share share : shares) {
            left -= share.share();
            if (left < 0) {
                return share.organisation();
            }
        }
        return shares.get(0).organisation();
    }

    private void send(RoutingPhase phase, String organisation) {
        long id = nextId.incrementAndGet();
        boolean repeatable = id % UNREPEATABLE_EVERY != 0;
        String body = organisation + "-request-" + id;
        HttpRequest message = CellAccess.message(
                        repeatable ? "PUT" : "POST", "/call/fitting/feet", body, CellAccess.credential(organisation))
                .withHeader("Request-Timeout-Millis", Long.toString(TIMEOUT_MILLIS));
        if (!repeatable) {
            message = message.withHeader("Idempotency-Key", CellAccess.newKey().toString());
        }
        phase.sent(repeatable);
        long beforeNanos = System.nanoTime();
        String server = servers.get((int) (id % servers.size()));
        client.send(server, message, TIMEOUT_MILLIS + GRACE_MILLIS, true).thenAccept(result -> {
            open.release();
            long millis = (System.nanoTime() - beforeNanos) / 1_000_000;
            take(phase, organisation, body, repeatable, result, millis);
        });
    }

    private static void take(
            RoutingPhase phase, String organisation, String body, boolean repeatable, HttpResult result, long millis) {
        if (result.outcome() != HttpOutcome.ANSWERED) {
            phase.other(organisation, result.outcome().name(), repeatable, false, millis);
            return;
        }
        try {
            JsonNode response = MAPPER.readTree(result.response().body());
            if (result.hasStatus(200)) {
                boolean own = response.path("body").asText().equals(body)
                        && response.path("organisation").asText().equals(organisation);
                if (own) {
                    phase.good(organisation, millis);
                } else {
                    phase.wrong();
                }
            } else {
                boolean unsent = response.path("outcome").asText().equals("NOT_RUN");
                phase.other(organisation, response.path("title").asText(), repeatable, unsent, millis);
            }
        } catch (IOException e) {
            phase.other(organisation, "HTTP_" + result.response().status(), repeatable, false, millis);
        }
    }
}
