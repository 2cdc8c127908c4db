package org.wasabimount.bench.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.wasabimount.bench.BenchOptions;
import org.wasabimount.bench.cell.CellAccess;
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
 * Loads thirty backend servers through six entry VMs, from half to twice their capacity and under faults, beside the
 * same with plain policies without admission.
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
    private static final String FLOODING = "flood";
    private static final List<LoadGenerator.Share> EVEN = List.of(
            new LoadGenerator.Share("gold", 0.4),
            new LoadGenerator.Share("silver", 0.4),
            new LoadGenerator.Share(FLOODING, 0.2));
    /** At twice the capacity: gold and silver ask for 0.6 of the capacity, within their shares; the rest floods. */
    private static final List<LoadGenerator.Share> FLOOD = List.of(
            new LoadGenerator.Share("gold", 0.2),
            new LoadGenerator.Share("silver", 0.1),
            new LoadGenerator.Share(FLOODING, 0.7));

    private final Path top;
    private final BenchOptions options;
    private final double seconds;
    private final long serviceMillis;

    /**
     * Creates the experiment.
     *
     * @param top the project's folder, built
     * @param options its size
     */
    public RoutingBench(Path top, BenchOptions options) {
        this.top = top;
        this.options = options;
        this.seconds = options.number("seconds", 6);
        this.serviceMillis = options.number("serviceMillis", 100);
    }

    /**
     * Runs the experiment with our policy and each baseline.
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
        Path folder = top.resolve("run/bench-routing");
        try (LocalCell cell = LocalCell.of(top, folder, DOMAINS, VMS_PER_DOMAIN)
                        .setting("routingPolicy", policy.name())
                        .start();
                CellAccess access = new CellAccess(cell);
                StandIns standIns = new StandIns(cell.httpAddresses(), LocalCell.PLATFORM_SECRET)) {
            access.awaitReady(READY_MILLIS);
            access.organisation("gold", 3);
            access.organisation("silver", 2);
            access.organisation(FLOODING, 1);
            List<StandInBackend> servers = addServers(cell, standIns);
            pause(SETTLE_MILLIS);
            return measure(policy, cell, access, servers);
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

    private ObjectNode measure(RoutingPolicy policy, LocalCell cell, CellAccess access, List<StandInBackend> servers)
            throws IOException {
        LoadGenerator load = new LoadGenerator(access.client(), cell.httpAddresses());
        double capacity = SERVERS * SLOTS * 1_000.0 / serviceMillis;
        List<RoutingPhase> phases = new ArrayList<>();
        load.run("warm-up", 0.3 * capacity, seconds / 2, EVEN);
        phases.add(load.run("half", 0.5 * capacity, seconds, EVEN));
        double retriesBefore = retries(access, cell);
        RoutingPhase full = load.run("ninety", 0.9 * capacity, seconds, EVEN);
        phases.add(full);
        RoutingPhase twice = load.run("double", 2 * capacity, seconds, FLOOD);
        phases.add(twice);
        RoutingPhase failing = withFault(load, servers.get(0), StandInBackend.Behaviour.FAILS, capacity);
        phases.add(failing);
        phases.add(withFault(load, servers.get(1), StandInBackend.Behaviour.SLOW, capacity));
        phases.add(withFault(load, servers.get(2), StandInBackend.Behaviour.FROZEN, capacity));
        servers.get(3).leave();
        phases.add(load.run("leaving", 0.6 * capacity, seconds, EVEN));
        double retryShare = (retries(access, cell) - retriesBefore) / (capacity * seconds * (0.9 + 2 + 4 * 0.6));
        phases.add(withKilledVm(access, cell, capacity));
        long doubled = doubled(servers);
        return json(policy, capacity, phases, twice, failing, retryShare, doubled);
    }

    private RoutingPhase withFault(
            LoadGenerator load, StandInBackend server, StandInBackend.Behaviour fault, double capacity) {
        server.behave(fault);
        RoutingPhase phase = load.run(fault.name(), 0.6 * capacity, seconds, EVEN);
        server.behave(StandInBackend.Behaviour.SERVES);
        pause(SETTLE_MILLIS);
        return phase;
    }

    /** Kills an entry VM; the balancer sends its callers to the others. */
    private RoutingPhase withKilledVm(CellAccess access, LocalCell cell, double capacity) {
        LocalDaemon victim = cell.daemons().get(VMS_PER_DOMAIN * DOMAINS.size() - 1);
        victim.kill();
        pause(SETTLE_MILLIS);
        List<String> left = cell.httpAddresses().stream()
                .filter(address -> !address.equals(victim.httpAddress()))
                .toList();
        return new LoadGenerator(access.client(), left).run("entry-vm-killed", 0.6 * capacity, seconds, EVEN);
    }

    private static double retries(CellAccess access, LocalCell cell) {
        double sum = 0;
        for (LocalDaemon daemon : cell.daemons()) {
            HttpResult metrics =
                    access.client().call(daemon.httpAddress(), HttpRequest.of("GET", "/metrics", new byte[0]), 2_000);
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

    private static long doubled(List<StandInBackend> servers) {
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
            List<RoutingPhase> phases,
            RoutingPhase twice,
            RoutingPhase failing,
            double retryShare,
            long doubled) {
        long withinGood = twice.good("gold") + twice.good("silver");
        long withinRefused = twice.refused("gold") + twice.refused("silver");
        ObjectNode json = new ObjectMapper()
                .createObjectNode()
                .put("policy", policy.name())
                .put("capacityPerSecond", capacity)
                .put("goodputShareAtDouble", twice.goodput() / capacity)
                .put("retryShare", retryShare)
                .put("lostToFailingServerShare", failing.lostShare())
                .put("refusedWithinShare", (double) withinRefused / Math.max(1, withinGood + withinRefused))
                .put(
                        "wrongAnswers",
                        phases.stream().mapToLong(RoutingPhase::wrongAnswers).sum())
                .put("doubledUnrepeatable", doubled)
                .put("waitP99Millis", twice.p99Millis());
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
