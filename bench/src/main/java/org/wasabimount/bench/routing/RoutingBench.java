package org.wasabimount.bench.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.wasabimount.bench.BenchOptions;
import org.wasabimount.bench.cell.CellClient;
import org.wasabimount.bench.cell.LocalCell;
import org.wasabimount.bench.cell.LocalDaemon;
import org.wasabimount.bench.standin.StandInBackend;
import org.wasabimount.bench.standin.StandIns;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.client.HttpResult;
import org.wasabimount.core.routing.RoutingPolicy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Loads thirty backend servers through six entry VMs, with half to twice their capacity and under faults, and compares
 * the product's policy with baseline policies that have no admission control.
 *
 * <p>Options: {@code --seconds} per phase, {@code --serviceMillis}, {@code --baselines} 0 or 1.
 */
public final class RoutingBench {

    private static final List<String> DOMAINS = List.of("d1", "d2", "d3");
    private static final int VMS_PER_DOMAIN = 2;
    private static final int SERVERS = 30;
    private static final int SLOTS = 8;
    private static final long READY_MILLIS = 30_000;
    private static final long SETTLE_MILLIS = 2_500;
    private static final String FLOODING_ORGANISATION = "flood";
    private static final List<LoadGenerator.Share> NORMAL_LOAD = List.of(
            new LoadGenerator.Share("gold", 0.4),
            new LoadGenerator.Share("silver", 0.4),
            new LoadGenerator.Share(FLOODING_ORGANISATION, 0.2));
    /** At twice the capacity, gold and silver send 0.6 of the capacity, within their shares; the rest is overload. */
    private static final List<LoadGenerator.Share> FLOOD_LOAD = List.of(
            new LoadGenerator.Share("gold", 0.2),
            new LoadGenerator.Share("silver", 0.1),
            new LoadGenerator.Share(FLOODING_ORGANISATION, 0.7));

    private final Path projectFolder;
    private final BenchOptions options;
    private final double seconds;
    private final long serviceMillis;

    /**
     * Creates the experiment.
     *
     * @param projectFolder the project's root folder, already built
     * @param options the options from the command line
     */
    public RoutingBench(Path projectFolder, BenchOptions options) {
        this.projectFolder = projectFolder;
        this.options = options;
        this.seconds = options.number("seconds", 6);
        this.serviceMillis = options.number("serviceMillis", 100);
    }

    /**
     * Runs the experiment with the product's policy and each baseline policy.
     *
     * @return the measured values
     * @throws IOException if a process can't be started
     */
    public ObjectNode run() throws IOException {
        ObjectNode result = run(RoutingPolicy.FAIR_SLOTS);
        ObjectNode baselines = result.putObject("baselines");
        for (RoutingPolicy policy : RoutingPolicy.values()) {
            if (policy != RoutingPolicy.FAIR_SLOTS && options.number("baselines", 1) == 1) {
                baselines.set(policy.name(), run(policy));
            }
        }
        return result;
    }

    private ObjectNode run(RoutingPolicy policy) throws IOException {
        Path folder = projectFolder.resolve("run/bench-routing");
        try (LocalCell cell = LocalCell.of(projectFolder, folder, DOMAINS, VMS_PER_DOMAIN)
                        .setting("routingPolicy", policy.name())
                        .start();
                CellClient cellClient = new CellClient(cell);
                StandIns standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET)) {
            cellClient.awaitReady(READY_MILLIS);
            cellClient.organisation("gold", 3);
            cellClient.organisation("silver", 2);
            cellClient.organisation(FLOODING_ORGANISATION, 1);
            List<StandInBackend> servers = addServers(cell, standIns);
            pause(SETTLE_MILLIS);
            return measure(policy, cell, cellClient, servers);
        }
    }

    private List<StandInBackend> addServers(LocalCell cell, StandIns standIns) {
        for (int number = 0; number < SERVERS; number++) {
            standIns.backend(new StandInBackend.Settings(
                    "server-" + number,
                    "gold",
                    "fitting",
                    true,
                    DOMAINS.get(number % DOMAINS.size()),
                    new InetSocketAddress(cell.address(100 + number), 9_100),
                    SLOTS,
                    serviceMillis));
        }
        return standIns.backends();
    }

    private ObjectNode measure(
            RoutingPolicy policy, LocalCell cell, CellClient cellClient, List<StandInBackend> servers)
            throws IOException {
        LoadGenerator loadGenerator = new LoadGenerator(cellClient.httpClient(), cell.httpAddresses());
        double capacity = SERVERS * SLOTS * 1_000.0 / serviceMillis;
        List<PhaseStatistics> phases = new ArrayList<>();
        loadGenerator.run("warm-up", 0.3 * capacity, seconds / 2, NORMAL_LOAD);
        phases.add(loadGenerator.run("half", 0.5 * capacity, seconds, NORMAL_LOAD));
        double retriesBefore = retries(cellClient, cell);
        PhaseStatistics ninetyPhase = loadGenerator.run("ninety", 0.9 * capacity, seconds, NORMAL_LOAD);
        phases.add(ninetyPhase);
        PhaseStatistics doublePhase = loadGenerator.run("double", 2 * capacity, seconds, FLOOD_LOAD);
        phases.add(doublePhase);
        PhaseStatistics failingPhase =
                runWithFault(loadGenerator, servers.get(0), StandInBackend.Behaviour.FAILS, capacity);
        phases.add(failingPhase);
        phases.add(runWithFault(loadGenerator, servers.get(1), StandInBackend.Behaviour.SLOW, capacity));
        phases.add(runWithFault(loadGenerator, servers.get(2), StandInBackend.Behaviour.FROZEN, capacity));
        servers.get(3).leave();
        phases.add(loadGenerator.run("leaving", 0.6 * capacity, seconds, NORMAL_LOAD));
        double retryShare = (retries(cellClient, cell) - retriesBefore) / (capacity * seconds * (0.9 + 2 + 4 * 0.6));
        phases.add(runWithKilledVm(cellClient, cell, capacity));
        long duplicatedKeys = duplicatedKeys(servers);
        return json(policy, capacity, phases, doublePhase, failingPhase, retryShare, duplicatedKeys);
    }

    private PhaseStatistics runWithFault(
            LoadGenerator loadGenerator, StandInBackend server, StandInBackend.Behaviour fault, double capacity) {
        server.setBehaviour(fault);
        PhaseStatistics phase = loadGenerator.run(fault.name(), 0.6 * capacity, seconds, NORMAL_LOAD);
        server.setBehaviour(StandInBackend.Behaviour.SERVES);
        pause(SETTLE_MILLIS);
        return phase;
    }

    /** Kills an entry VM and sends the load to the remaining ones, as a load balancer does. */
    private PhaseStatistics runWithKilledVm(CellClient cellClient, LocalCell cell, double capacity) {
        LocalDaemon killedDaemon = cell.daemons().get(VMS_PER_DOMAIN * DOMAINS.size() - 1);
        killedDaemon.kill();
        pause(SETTLE_MILLIS);
        List<String> remainingAddresses = cell.httpAddresses().stream()
                .filter(address -> !address.equals(killedDaemon.httpAddress()))
                .toList();
        return new LoadGenerator(cellClient.httpClient(), remainingAddresses)
                .run("entry-vm-killed", 0.6 * capacity, seconds, NORMAL_LOAD);
    }

    private static double retries(CellClient cellClient, LocalCell cell) {
        double sum = 0;
        for (LocalDaemon daemon : cell.daemons()) {
            HttpResult metrics = cellClient
                    .httpClient()
                    .call(daemon.httpAddress(), HttpRequest.of("GET", "/metrics", new byte[0]), 2_000);
            if (metrics.hasStatus(200)) {
                sum += metrics.response()
                        .text()
                        .lines()
                        .filter(line -> line.startsWith("wasabimount_request_retries_total "))
                        .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                        .sum();
            }
        }
        return sum;
    }

    private static long duplicatedKeys(List<StandInBackend> servers) {
        return servers.stream()
                .flatMap(server -> server.runsByKey().keySet().stream())
                .distinct()
                .filter(key -> servers.stream()
                                .map(server -> server.runsByKey().get(key))
                                .filter(count -> count != null)
                                .mapToLong(count -> count.get())
                                .sum()
                        > 1)
                .count();
    }

    private static ObjectNode json(
            RoutingPolicy policy,
            double capacity,
            List<PhaseStatistics> phases,
            PhaseStatistics doublePhase,
            PhaseStatistics failingPhase,
            double retryShare,
            long duplicatedKeys) {
        long succeededWithinShare = doublePhase.succeeded("gold") + doublePhase.succeeded("silver");
        long refusedWithinShare = doublePhase.refused("gold") + doublePhase.refused("silver");
        ObjectNode json = new ObjectMapper()
                .createObjectNode()
                .put("policy", policy.name())
                .put("capacityPerSecond", capacity)
                .put("goodputShareAtDouble", doublePhase.goodput() / capacity)
                .put("retryShare", retryShare)
                .put("lostToFailingServerShare", failingPhase.lostShare())
                .put(
                        "refusedWithinShare",
                        (double) refusedWithinShare / Math.max(1, succeededWithinShare + refusedWithinShare))
                .put(
                        "wrongAnswers",
                        phases.stream()
                                .mapToLong(PhaseStatistics::wrongResponses)
                                .sum())
                .put("doubledUnrepeatable", duplicatedKeys)
                .put("waitP99Millis", doublePhase.p99Millis());
        ArrayNode list = json.putArray("phases");
        phases.forEach(phase -> list.add(phase.json()));
        phases.forEach(phase -> System.out.println(policy + " " + phase.json()));
        return json;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
