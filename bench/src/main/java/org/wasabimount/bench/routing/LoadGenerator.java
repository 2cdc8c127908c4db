package org.wasabimount.bench.routing;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpOutcome;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Open-loop load generator: sends at a given rate regardless of the responses, and checks every response. */
final class LoadGenerator {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_OPEN_REQUESTS = 4_000;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 3_000;
    private static final int UNREPEATABLE_EVERY = 50;

    private final HttpClient httpClient;
    private final List<String> entryAddresses;
    private final Random random = new Random(3);
    private final Semaphore openRequests = new Semaphore(MAX_OPEN_REQUESTS);
    private final AtomicLong nextId = new AtomicLong();

    /**
     * An organisation's share of the load.
     *
     * @param organisation the organisation
     * @param share its fraction of all requests, relative to the sum of all shares
     */
    record Share(String organisation, double share) {}

    LoadGenerator(HttpClient httpClient, List<String> entryAddresses) {
        this.httpClient = httpClient;
        this.entryAddresses = entryAddresses;
    }

    /** Sends at a rate for a duration, then waits until every request has completed. */
    PhaseStatistics run(String name, double perSecond, double seconds, List<Share> shares) {
        PhaseStatistics phase = new PhaseStatistics(name, seconds);
        long startNanos = System.nanoTime();
        long count = Math.round(perSecond * seconds);
        for (long number = 0; number < count; number++) {
            long dueNanos = startNanos + (long) (number / perSecond * 1e9);
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.min(1_000_000, dueNanos - System.nanoTime()));
            }
            if (openRequests.tryAcquire()) {
                send(phase, chooseOrganisation(shares));
            }
        }
        awaitCompletion();
        return phase;
    }

    private void awaitCompletion() {
        try {
            if (openRequests.tryAcquire(MAX_OPEN_REQUESTS, TIMEOUT_MILLIS + 2 * GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                openRequests.release(MAX_OPEN_REQUESTS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String chooseOrganisation(List<Share> shares) {
        double remaining =
                random.nextDouble() * shares.stream().mapToDouble(Share::share).sum();
        for (Share share : shares) {
            remaining -= share.share();
            if (remaining < 0) {
                return share.organisation();
            }
        }
        return shares.get(0).organisation();
    }

    private void send(PhaseStatistics phase, String organisation) {
        long id = nextId.incrementAndGet();
        boolean repeatable = id % UNREPEATABLE_EVERY != 0;
        String body = organisation + "-request-" + id;
        HttpRequest httpRequest = CellClient.httpRequest(
                        repeatable ? "PUT" : "POST", "/call/fitting/feet", body, CellClient.credential(organisation))
                .withHeader("Request-Timeout-Millis", Long.toString(TIMEOUT_MILLIS));
        if (!repeatable) {
            httpRequest = httpRequest.withHeader(
                    "Idempotency-Key", CellClient.newKey().toString());
        }
        phase.sent(repeatable);
        long beforeNanos = System.nanoTime();
        String entryAddress = entryAddresses.get((int) (id % entryAddresses.size()));
        httpClient
                .send(entryAddress, httpRequest, TIMEOUT_MILLIS + GRACE_MILLIS, true)
                .thenAccept(result -> {
                    openRequests.release();
                    long millis = (System.nanoTime() - beforeNanos) / 1_000_000;
                    recordResult(phase, organisation, body, repeatable, result, millis);
                });
    }

    private static void recordResult(
            PhaseStatistics phase,
            String organisation,
            String body,
            boolean repeatable,
            HttpResult result,
            long millis) {
        if (result.outcome() != HttpOutcome.ANSWERED) {
            phase.unsuccessful(organisation, result.outcome().name(), repeatable, false, millis);
            return;
        }
        try {
            JsonNode response = MAPPER.readTree(result.response().body());
            if (result.hasStatus(200)) {
                boolean matches = response.path("body").asText().equals(body)
                        && response.path("organisation").asText().equals(organisation);
                if (matches) {
                    phase.succeeded(organisation, millis);
                } else {
                    phase.mismatched();
                }
            } else {
                boolean notRun = response.path("outcome").asText().equals("NOT_RUN");
                phase.unsuccessful(organisation, response.path("title").asText(), repeatable, notRun, millis);
            }
        } catch (IOException e) {
            phase.unsuccessful(organisation, "HTTP_" + result.response().status(), repeatable, false, millis);
        }
    }
}
