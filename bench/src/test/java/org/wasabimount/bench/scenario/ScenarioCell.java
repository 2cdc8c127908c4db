package org.wasabimount.bench.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.bench.standin.CuttableLink;
import org.wasabimount.bench.standin.StandInBackend;
import org.wasabimount.bench.standin.StandInWorker;
import org.wasabimount.bench.standin.StandIns;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;
import org.wasabimount.core.cell.Capacity;

/** A cell with cuttable links between its daemons, and helper methods for the scenario steps. */
final class ScenarioCell implements AutoCloseable {

    static final long TIMEOUT_MILLIS = 60_000;
    private static final List<String> DOMAINS = List.of("d1", "d2", "d3");
    private static final int FIRST_LINK_HOST = 200;
    private static final int LINK_PORT = 7_200;
    private static final int FIRST_BACKEND_HOST = 100;
    private static final int BACKEND_PORT = 9_100;
    private static final long CALL_MILLIS = 5_000;

    private final LocalCell cell;
    private final CellClient cellClient;
    private final StandIns standIns;
    private final Map<String, CuttableLink> links = new LinkedHashMap<>();

    ScenarioCell() throws IOException {
        Path projectFolder = Path.of("..").toAbsolutePath().normalize();
        Path folder = Path.of("target", "scenarios", UUID.randomUUID().toString());
        cell = LocalCell.of(projectFolder, folder, DOMAINS, 1);
        Map<String, Map<String, String>> addresses = openLinks();
        cell.peerLinks(addresses).start();
        cellClient = new CellClient(cell);
        standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET);
    }

    LocalCell cell() {
        return cell;
    }

    CellClient cellClient() {
        return cellClient;
    }

    List<StandInBackend> backends() {
        return standIns.backends();
    }

    List<LocalDaemon> daemonsExcept(LocalDaemon daemon) {
        return cell.daemons().stream().filter(other -> other != daemon).toList();
    }

    void addBackends(long serviceMillis) {
        for (String domain : DOMAINS) {
            int number = standIns.backends().size();
            standIns.backend(new StandInBackend.Settings(
                    "backend-" + domain,
                    "org",
                    "echo",
                    false,
                    domain,
                    new InetSocketAddress(cell.address(FIRST_BACKEND_HOST + number), BACKEND_PORT),
                    8,
                    serviceMillis));
        }
    }

    void addWorker(long cpuMillis) {
        standIns.worker(
                new StandInWorker.Settings("worker", "d1", "rack", new Capacity(cpuMillis, 4_096, 0), false),
                line -> {});
    }

    void cutOff(LocalDaemon daemon, boolean outgoing, boolean incoming) {
        links.forEach((name, link) -> {
            boolean from = name.startsWith(daemon.name() + ">");
            boolean to = name.endsWith(">" + daemon.name());
            if (from && outgoing || to && incoming) {
                link.cut();
            }
        });
    }

    void heal() {
        links.values().forEach(CuttableLink::heal);
    }

    HttpResult declare(LocalDaemon daemon, String name) {
        return cellClient.putBatchAt(daemon, "org", name, 0, 2_000);
    }

    HttpResult call(LocalDaemon daemon, String body, String key) {
        HttpRequest httpRequest = CellClient.httpRequest(
                        key == null ? "PUT" : "POST", "/call/echo/", body, CellClient.credential("org"))
                .withHeader("Request-Timeout-Millis", Long.toString(CALL_MILLIS));
        return cellClient
                .httpClient()
                .call(
                        daemon.httpAddress(),
                        key == null ? httpRequest : httpRequest.withHeader("Idempotency-Key", key),
                        2 * CALL_MILLIS);
    }

    long runs(String key) {
        return backends().stream()
                .map(backend -> backend.runsByKey().get(key))
                .filter(count -> count != null)
                .mapToLong(count -> count.get())
                .sum();
    }

    static String newKey() {
        return CellClient.newKey().toString();
    }

    @Override
    public void close() throws IOException {
        standIns.close();
        cellClient.close();
        cell.close();
        for (CuttableLink link : new ArrayList<>(links.values())) {
            link.close();
        }
    }

    private Map<String, Map<String, String>> openLinks() throws IOException {
        Map<String, Map<String, String>> addresses = new HashMap<>();
        int host = FIRST_LINK_HOST;
        for (LocalDaemon from : cell.daemons()) {
            Map<String, String> outgoingAddresses = new HashMap<>();
            for (LocalDaemon to : daemonsExcept(from)) {
                InetSocketAddress listen = new InetSocketAddress(cell.address(host), LINK_PORT);
                String[] target = cell.peerAddress(to.name()).split(":");
                InetSocketAddress receiver = new InetSocketAddress(target[0], Integer.parseInt(target[1]));
                links.put(from.name() + ">" + to.name(), new CuttableLink(listen, receiver));
                outgoingAddresses.put(to.name(), cell.address(host) + ":" + LINK_PORT);
                host++;
            }
            addresses.put(from.name(), outgoingAddresses);
        }
        return addresses;
    }
}
