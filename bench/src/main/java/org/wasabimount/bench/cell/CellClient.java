package org.wasabimount.bench.cell;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Client of a local cell that uses its public HTTP interface. */
public final class CellClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MAX_RESPONSE_BYTES = 256 << 20;
    private static final int OK = 200;

    private final LocalCell cell;
    private final XnioWorker ioThreads;
    private final HttpClient httpClient;
    private final AtomicInteger daemonIndex = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param cell the cell
     * @throws IOException if the I/O threads can't be created
     */
    public CellClient(LocalCell cell) throws IOException {
        this.cell = cell;
        this.ioThreads = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        this.httpClient = new HttpClient(ioThreads, MAX_RESPONSE_BYTES);
    }

    /**
     * Returns the HTTP client.
     *
     * @return the HTTP client
     */
    public HttpClient httpClient() {
        return httpClient;
    }

    /**
     * Returns the credential of an organisation that was declared by {@link #organisation}.
     *
     * @param organisation the organisation
     * @return the credential
     */
    public static String credential(String organisation) {
        return organisation + ":secret-of-" + organisation;
    }

    /**
     * Waits until every daemon is ready.
     *
     * @param timeoutMillis how long to wait
     * @return true if all were ready in time
     */
    public boolean awaitReady(long timeoutMillis) {
        return cell.awaitReady(
                httpClient, cell.daemons().stream().map(LocalDaemon::name).toList(), timeoutMillis);
    }

    /**
     * Declares an organisation with a quota too large to be reached, and waits until every daemon accepts its credential.
     *
     * @param name its name
     * @param weight its weight
     */
    public void organisation(String name, int weight) {
        String hash = LocalCell.hash("secret-of-" + name);
        String body = "{\"weight\":" + weight + ",\"quota\":{\"cpuMillis\":1000000000,\"memoryMegabytes\":1000000000,"
                + "\"accelerators\":1000000},\"secretHashes\":[\"" + hash + "\"]}";
        HttpRequest putRequest = httpRequest("PUT", "/admin/organisations/" + name, body, LocalCell.ADMIN_SECRET);
        boolean declared = LocalCell.await(
                () -> httpClient
                        .call(cell.daemons().get(0).httpAddress(), putRequest, TIMEOUT_MILLIS)
                        .hasStatus(OK),
                TIMEOUT_MILLIS);
        if (!declared) {
            throw new IllegalStateException("organisation " + name + " could not be declared");
        }
        // The credential is accepted by a daemon only after the change has been replicated to it.
        HttpRequest listRequest = httpRequest("GET", "/v1/resources", "", credential(name));
        LocalCell.await(
                () -> cell.daemons().stream()
                        .allMatch(daemon -> httpClient
                                .call(daemon.httpAddress(), listRequest, TIMEOUT_MILLIS)
                                .hasStatus(OK)),
                TIMEOUT_MILLIS);
    }

    /**
     * Declares a batch of one task through the next daemon in turn.
     *
     * @param organisation the organisation
     * @param name the batch's name
     * @param number makes the request's id
     * @return a future completed with the result
     */
    public CompletableFuture<HttpResult> putBatch(String organisation, String name, int number) {
        LocalDaemon daemon = cell.daemons()
                .get(Math.floorMod(daemonIndex.getAndIncrement(), cell.daemons().size()));
        return httpClient.send(daemon.httpAddress(), batchRequest(organisation, name, number), TIMEOUT_MILLIS, true);
    }

    /**
     * Declares a batch of one task through a given daemon and waits for the result.
     *
     * @param daemon the daemon
     * @param organisation the organisation
     * @param name the batch's name
     * @param number makes the request's id
     * @param timeoutMillis how long to wait
     * @return the result
     */
    public HttpResult putBatchAt(LocalDaemon daemon, String organisation, String name, int number, long timeoutMillis) {
        return httpClient.call(daemon.httpAddress(), batchRequest(organisation, name, number), timeoutMillis);
    }

    /**
     * Waits until a daemon reports the leader of the cell's group.
     *
     * @return the leader, or null if none is reported in time
     */
    public LocalDaemon leader() {
        LocalDaemon[] found = new LocalDaemon[1];
        LocalCell.await(
                () -> {
                    found[0] = findLeader();
                    return found[0] != null;
                },
                TIMEOUT_MILLIS);
        return found[0];
    }

    /**
     * Reads the status of the cell through one daemon.
     *
     * @param daemon the daemon
     * @return the status, or an empty object if the call fails
     */
    public JsonNode status(LocalDaemon daemon) {
        return json(httpClient.call(
                daemon.httpAddress(), httpRequest("GET", "/admin/status", "", LocalCell.ADMIN_SECRET), TIMEOUT_MILLIS));
    }

    /**
     * Returns whether an organisation has a batch, read through the next daemon in turn.
     *
     * @param organisation the organisation
     * @param name the batch's name
     * @return a future completed with true if the batch was found
     */
    public CompletableFuture<Boolean> hasBatch(String organisation, String name) {
        HttpRequest get = httpRequest("GET", "/v1/batches/" + name, "", credential(organisation));
        LocalDaemon daemon = cell.daemons()
                .get(Math.floorMod(daemonIndex.getAndIncrement(), cell.daemons().size()));
        return httpClient
                .send(daemon.httpAddress(), get, TIMEOUT_MILLIS, true)
                .thenApply(result -> result.hasStatus(OK));
    }

    /**
     * Creates an idempotency key: a version 7 UUID of the current time.
     *
     * @return the key
     */
    public static UUID newKey() {
        UUID randomUuid = UUID.randomUUID();
        long mostSignificantBits =
                System.currentTimeMillis() << 16 | 0x7000L | randomUuid.getMostSignificantBits() & 0xfff;
        return new UUID(mostSignificantBits, randomUuid.getLeastSignificantBits());
    }

    /**
     * Creates an HTTP request with a credential and a JSON content type.
     *
     * @param method the method
     * @param path the path
     * @param body the body
     * @param credential the credential
     * @return the request
     */
    public static HttpRequest httpRequest(String method, String path, String body, String credential) {
        return HttpRequest.of(method, path, body.getBytes(StandardCharsets.UTF_8))
                .withHeader("Authorization", "Bearer " + credential)
                .withHeader("Content-Type", "application/json");
    }

    @Override
    public void close() {
        ioThreads.shutdownNow();
    }

    private LocalDaemon findLeader() {
        List<LocalDaemon> runningDaemons = cell.daemons().stream()
                .filter(daemon -> daemon.process().isAlive())
                .toList();
        for (LocalDaemon daemon : runningDaemons) {
            String leader = status(daemon)
                    .path("vm")
                    .path("groups")
                    .path("cell")
                    .path("leader")
                    .asText();
            if (leader.contains("/")) {
                return cell.daemon(leader.substring(0, leader.indexOf('/')));
            }
        }
        return null;
    }

    private static HttpRequest batchRequest(String organisation, String name, int number) {
        String body = "{\"taskSize\":{\"cpuMillis\":100},\"taskCount\":1}";
        return httpRequest("PUT", "/v1/batches/" + name, body, credential(organisation))
                .withHeader("Request-Id", name + "-" + number);
    }

    private static JsonNode json(HttpResult result) {
        try {
            return result.hasStatus(OK) ? MAPPER.readTree(result.response().body()) : MAPPER.createObjectNode();
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }
}
