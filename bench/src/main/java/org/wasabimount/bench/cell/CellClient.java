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

/** An operator's access to a local cell over its public interface. */
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
     * Creates an access.
     *
     * @param cell the cell
     * @throws IOException if no I/O threads can be made
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
     * Returns the client.
     *
     * @return the client
     */
    public HttpClient httpClient() {
        return httpClient;
    }

    /**
     * Returns the credential that {@link #organisation} gives to an organisation.
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
     * @return whether all were ready in time
     */
    public boolean awaitReady(long timeoutMillis) {
        return cell.awaitReady(
                httpClient, cell.daemons().stream().map(LocalDaemon::name).toList(), timeoutMillis);
    }

    /**
     * Declares an organisation with a quota that is no limit.
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
        // Every daemon must know the credential before it is used there.
        HttpRequest listRequest = httpRequest("GET", "/v1/resources", "", credential(name));
        LocalCell.await(
                () -> cell.daemons().stream()
                        .allMatch(daemon -> httpClient
                                .call(daemon.httpAddress(), listRequest, TIMEOUT_MILLIS)
                                .hasStatus(OK)),
                TIMEOUT_MILLIS);
    }

    /**
     * Declares a batch through the next daemon.
     *
     * @param organisation the organisation
     * @param name the batch's name
     * @param number makes the request's id
     * @return completed with the answer
     */
    public CompletableFuture<HttpResult> putBatch(String organisation, String name, int number) {
        LocalDaemon daemon = cell.daemons()
                .get(Math.floorMod(daemonIndex.getAndIncrement(), cell.daemons().size()));
        return httpClient.send(daemon.httpAddress(), batchRequest(organisation, name, number), TIMEOUT_MILLIS, true);
    }

    /**
     * Declares a batch through one daemon and waits.
     *
     * @param daemon the daemon
     * @param organisation the organisation
     * @param name the batch's name
     * @param number makes the request's id
     * @param timeoutMillis how long to wait
     * @return the answer
     */
    public HttpResult putBatchAt(LocalDaemon daemon, String organisation, String name, int number, long timeoutMillis) {
        return httpClient.call(daemon.httpAddress(), batchRequest(organisation, name, number), timeoutMillis);
    }

    /**
     * Finds the leader of the cell's group.
     *
     * @return the daemon that leads
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
     * @return the status, or an empty object if there is no answer
     */
    public JsonNode status(LocalDaemon daemon) {
        return json(httpClient.call(
                daemon.httpAddress(), httpRequest("GET", "/admin/status", "", LocalCell.ADMIN_SECRET), TIMEOUT_MILLIS));
    }

    /**
     * Tells whether an organisation has a batch.
     *
     * @param organisation the organisation
     * @param name the batch's name
     * @return completed with whether it was found
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
     * Makes an idempotency key: a version 7 UUID of now.
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
     * Writes a message with a credential.
     *
     * @param method the method
     * @param path the path
     * @param body the body
     * @param credential the credential
     * @return the message
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
