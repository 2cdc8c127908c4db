package org.wasabimount.bench.cell;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.wasabimount.client.HttpClient;
import org.wasabimount.client.HttpRequest;
import org.wasabimount.daemon.cell.Directory;

/**
 * A cell of daemon processes on this machine, each with its own address in 127.0.0.0/8.
 *
 * <p>For example:
 *
 * <pre>{@code
 * try (LocalCell cell = LocalCell.of(projectFolder, folder, List.of("glasgow", "edinburgh", "aberdeen"), 1)) {
 *     cell.start();
 * }
 * }</pre>
 */
public final class LocalCell implements AutoCloseable {

    /** Secret of the platform's operator. */
    public static final String ADMIN_SECRET = "demo-admin-secret";

    /** Secret that workers and backend servers use to announce themselves. */
    public static final String PLATFORM_SECRET = "demo-platform-secret";

    private static final AtomicInteger CELL_COUNT = new AtomicInteger();
    private static final int HTTP_PORT = 8100;
    private static final int PEER_PORT = 7100;
    private static final long POLL_MILLIS = 50;
    private static final int OCTET_VALUES = 256;

    private final Path projectFolder;
    private final Path folder;
    private final List<String> domains;
    private final Map<String, LocalDaemon> daemons = new LinkedHashMap<>();
    private final Map<String, String> domainByVm = new LinkedHashMap<>();
    private final Map<String, String> peerAddresses = new LinkedHashMap<>();
    private final Map<String, String> extraSettings = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> linkAddresses = new LinkedHashMap<>();
    private final String networkPrefix;

    private LocalCell(Path projectFolder, Path folder, List<String> domains) {
        this.projectFolder = projectFolder;
        this.folder = folder;
        this.domains = domains;
        long pid = ProcessHandle.current().pid();
        int number = CELL_COUNT.incrementAndGet();
        this.networkPrefix = "127." + (100 + (pid / OCTET_VALUES + 7 * number) % 100) + "." + pid % OCTET_VALUES + ".";
    }

    /**
     * Creates a cell without starting its daemons.
     *
     * @param projectFolder the project's root folder, already built
     * @param folder the folder for settings, data and logs
     * @param domains the failure domains
     * @param vmsPerDomain number of entry VMs in each failure domain
     * @return the cell
     */
    public static LocalCell of(Path projectFolder, Path folder, List<String> domains, int vmsPerDomain) {
        LocalCell cell = new LocalCell(projectFolder, folder, domains);
        int host = 1;
        for (int number = 1; number <= vmsPerDomain; number++) {
            for (String domain : domains) {
                String vm = domain + "-" + number;
                String address = cell.networkPrefix + host;
                host++;
                cell.domainByVm.put(vm, domain);
                cell.peerAddresses.put(vm, address + ":" + PEER_PORT);
                cell.daemons.put(vm, new LocalDaemon(projectFolder, folder.resolve(vm), vm, address + ":" + HTTP_PORT));
            }
        }
        return cell;
    }

    /**
     * Adds a setting to the settings file of every daemon.
     *
     * @param key the key
     * @param value the value
     * @return this
     */
    public LocalCell setting(String key, String value) {
        extraSettings.put(key, value);
        return this;
    }

    /**
     * Deletes the cell's folder, writes the settings files, formats the data folders and starts every daemon.
     *
     * @return this
     * @throws IOException if a daemon can't be started
     */
    public LocalCell start() throws IOException {
        deleteTree(folder);
        for (LocalDaemon daemon : daemons.values()) {
            Files.createDirectories(daemon.settingsFile().getParent());
            Files.writeString(daemon.settingsFile(), settings(daemon));
            daemon.format(true);
        }
        for (LocalDaemon daemon : daemons.values()) {
            daemon.start();
        }
        return this;
    }

    /**
     * Sets other addresses under which daemons connect to their peers, for example those of links that can be cut.
     *
     * @param addresses for each VM, the addresses of its peers by VM
     * @return this
     */
    public LocalCell peerLinks(Map<String, Map<String, String>> addresses) {
        linkAddresses.putAll(addresses);
        return this;
    }

    /**
     * Returns a daemon.
     *
     * @param vm its VM
     * @return the daemon
     */
    public LocalDaemon daemon(String vm) {
        return daemons.get(vm);
    }

    /**
     * Returns all daemons.
     *
     * @return the daemons in the order in which they were created
     */
    public List<LocalDaemon> daemons() {
        return new ArrayList<>(daemons.values());
    }

    /**
     * Returns the address on which a daemon listens for other daemons.
     *
     * @param vm its VM
     * @return host and port
     */
    public String peerAddress(String vm) {
        return peerAddresses.get(vm);
    }

    /**
     * Returns a loopback address that no daemon of this cell uses.
     *
     * @param host the last octet of the address, from 100 to 254
     * @return the address
     */
    public String address(int host) {
        return networkPrefix + host;
    }

    /**
     * Returns every daemon's HTTP address.
     *
     * @return the addresses
     */
    public List<String> httpAddresses() {
        return daemons.values().stream().map(LocalDaemon::httpAddress).toList();
    }

    /**
     * Waits until daemons are ready.
     *
     * @param httpClient the client that sends the readiness probes
     * @param vms the daemons' VMs
     * @param timeoutMillis how long to wait
     * @return true if all were ready in time
     */
    public boolean awaitReady(HttpClient httpClient, List<String> vms, long timeoutMillis) {
        HttpRequest probe = HttpRequest.of("GET", "/readyz", new byte[0]);
        return await(
                () -> vms.stream()
                        .allMatch(vm -> httpClient
                                .call(daemons.get(vm).httpAddress(), probe, 1_000)
                                .hasStatus(200)),
                timeoutMillis);
    }

    /**
     * Polls a condition until it is true.
     *
     * @param condition the condition
     * @param timeoutMillis how long to wait
     * @return true if the condition became true in time
     */
    public static boolean await(BooleanSupplier condition, long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() >= deadlineNanos) {
                return false;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        daemons.values().stream()
                .filter(daemon -> daemon.process() != null && daemon.process().isAlive())
                .forEach(LocalDaemon::kill);
    }

    static void deleteTree(Path path) throws IOException {
        if (!Files.exists(path)) {
            return;
        }
        try (Stream<Path> paths = Files.walk(path)) {
            paths.sorted(Comparator.reverseOrder()).forEach(file -> {
                try {
                    Files.delete(file);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    private String settings(LocalDaemon daemon) {
        Map<String, String> addresses = linkAddresses.getOrDefault(daemon.name(), Map.of());
        String voters = domains.stream().map(domain -> domain + "-1").collect(Collectors.joining(", "));
        StringBuilder text = new StringBuilder();
        text.append("vm: ").append(daemon.name()).append('\n');
        text.append("domain: ").append(domainByVm.get(daemon.name())).append('\n');
        text.append("httpAddress: ").append(daemon.httpAddress()).append('\n');
        text.append("peerAddress: ").append(peerAddresses.get(daemon.name())).append('\n');
        text.append("dataFolder: ").append(daemon.dataFolder()).append('\n');
        text.append("domains: ").append(domains).append('\n');
        text.append("cellVoters: [").append(voters).append("]\n");
        text.append("ledgerVoters:\n");
        domains.forEach(domain -> text.append("  ")
                .append(domain)
                .append(": ")
                .append(ledgerVoters(domain))
                .append('\n'));
        text.append("peers:\n");
        peerAddresses.forEach((vm, address) -> {
            if (!vm.equals(daemon.name())) {
                text.append("  - {vm: ").append(vm).append(", domain: ").append(domainByVm.get(vm));
                text.append(", address: \"")
                        .append(addresses.getOrDefault(vm, address))
                        .append("\"}\n");
            }
        });
        text.append("adminSecretHash: ").append(hash(ADMIN_SECRET)).append('\n');
        text.append("platformSecretHash: ").append(hash(PLATFORM_SECRET)).append('\n');
        extraSettings.forEach(
                (key, value) -> text.append(key).append(": ").append(value).append('\n'));
        return text.toString();
    }

    /** Returns up to three voters of a domain's ledger: its own VMs first, then the first VMs of the next domains. */
    private List<String> ledgerVoters(String domain) {
        List<String> voterVms = domainByVm.keySet().stream()
                .filter(vm -> domainByVm.get(vm).equals(domain))
                .limit(3)
                .collect(Collectors.toCollection(ArrayList::new));
        int next = domains.indexOf(domain) + 1;
        while (voterVms.size() < 3 && voterVms.size() < domainByVm.size()) {
            voterVms.add(domains.get(next % domains.size()) + "-1");
            next++;
        }
        return voterVms;
    }

    /** Returns a secret's hash in the hexadecimal form that settings files and organisations hold. */
    static String hash(String secret) {
        return HexFormat.of().formatHex(Directory.hash(secret).toByteArray());
    }
}
