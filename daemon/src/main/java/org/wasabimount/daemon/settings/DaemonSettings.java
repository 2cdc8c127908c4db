package org.wasabimount.daemon.settings;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.core.routing.RoutingPolicy;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.nodes.Node;

import com.google.protobuf.ByteString;

/**
 * The validated settings of one daemon.
 *
 * @param vm this VM
 * @param domain this VM's failure domain
 * @param httpAddress the address to which callers, operators, workers and backend servers connect
 * @param peerAddress the address to which other daemons connect
 * @param dataFolder the folder for durable state, empty on a VM that is only a learner
 * @param domains all failure domains, in an order that never changes
 * @param cellVoters the initial voters of the cell's group
 * @param ledgerVoters the initial voters of each domain's ledger group
 * @param peers the other daemons
 * @param adminSecretHash SHA-256 of the platform operator's secret
 * @param platformSecretHash SHA-256 of the secret of workers and backend servers
 * @param limits limits of time, size and rate
 * @param routingPolicy the policy for choosing a backend server
 * @param logging the format and level of the log
 * @param tls the PEM files for the links between daemons, empty if the links are not protected
 */
public record DaemonSettings(
        VmId vm,
        FailureDomainId domain,
        InetSocketAddress httpAddress,
        InetSocketAddress peerAddress,
        Optional<Path> dataFolder,
        List<FailureDomainId> domains,
        List<VmId> cellVoters,
        Map<FailureDomainId, List<VmId>> ledgerVoters,
        List<Peer> peers,
        ByteString adminSecretHash,
        ByteString platformSecretHash,
        Limits limits,
        RoutingPolicy routingPolicy,
        Logging logging,
        Optional<Tls> tls) {

    private static final int HASH_HEX_DIGITS = 64;

    /**
     * Another daemon.
     *
     * @param vm its VM
     * @param domain its failure domain
     * @param address the address on which it listens for other daemons
     */
    public record Peer(VmId vm, FailureDomainId domain, InetSocketAddress address) {}

    /**
     * Limits of time, size and rate.
     *
     * @param electionTimeoutMillis shortest time without contact from the leader before an election starts
     * @param maxBodyBytes maximum size of a request body
     * @param maxAnswerBytes maximum size of a backend response that is forwarded
     * @param maxClientRequestsPerSecond maximum requests from one client address, zero for no limit
     */
    public record Limits(
            long electionTimeoutMillis, int maxBodyBytes, int maxAnswerBytes, long maxClientRequestsPerSecond) {}

    /**
     * The format and level of the log.
     *
     * @param format the format of a line
     * @param level the lowest level that is written
     */
    public record Logging(LogFormat format, LogLevel level) {}

    /** The formats of log lines. */
    public enum LogFormat {
        /** One sentence with time and level. */
        PLAIN,
        /** One JSON object. */
        JSON
    }

    /** The levels of log lines. */
    public enum LogLevel {
        /** Details for debugging. */
        DEBUG,
        /** Normal operation. */
        INFO,
        /** Events that may need an operator's attention. */
        WARNING,
        /** Errors that need an operator's attention. */
        ERROR
    }

    /**
     * The PEM files for TLS.
     *
     * @param certificateFile this VM's certificate chain
     * @param keyFile this VM's private key, PKCS #8
     * @param authorityFile the certificates of the authorities that sign every daemon's certificate
     */
    public record Tls(Path certificateFile, Path keyFile, Path authorityFile) {}

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws IOException if the file can't be read
     * @throws SettingsException if the file is invalid
     */
    public static DaemonSettings read(Path file) throws IOException, SettingsException {
        return parse(Files.readString(file));
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param yaml the YAML text
     * @return the settings
     * @throws SettingsException if the file is invalid
     */
    public static DaemonSettings parse(String yaml) throws SettingsException {
        SettingsNode root = SettingsNode.root(compose(yaml));
        root.rejectUnknownKeys(SettingKey.texts());
        List<FailureDomainId> domains = root.names(SettingKey.DOMAINS.text()).stream()
                .map(FailureDomainId::new)
                .toList();
        DaemonSettings settings = new DaemonSettings(
                new VmId(root.name(SettingKey.VM.text())),
                domain(root, SettingKey.DOMAIN.text(), domains),
                root.address(SettingKey.HTTP_ADDRESS.text()),
                root.address(SettingKey.PEER_ADDRESS.text()),
                Optional.ofNullable(root.text(SettingKey.DATA_FOLDER.text(), null))
                        .map(Path::of),
                domains,
                vms(root, SettingKey.CELL_VOTERS.text()),
                ledgerVoters(root, domains),
                peers(root, domains),
                hash(root, SettingKey.ADMIN_SECRET_HASH.text()),
                hash(root, SettingKey.PLATFORM_SECRET_HASH.text()),
                limits(root),
                root.enumConstant(SettingKey.ROUTING_POLICY.text(), RoutingPolicy.FAIR_SLOTS),
                new Logging(
                        root.enumConstant(SettingKey.LOG_FORMAT.text(), LogFormat.PLAIN),
                        root.enumConstant(SettingKey.LOG_LEVEL.text(), LogLevel.INFO)),
                tls(root));
        settings.checkVoters(root);
        return settings;
    }

    /**
     * Returns every VM of the cell, including this one, with its failure domain.
     *
     * @return the failure domain of each VM
     */
    public Map<VmId, FailureDomainId> allVms() {
        Map<VmId, FailureDomainId> vmDomains = new LinkedHashMap<>();
        vmDomains.put(vm, domain);
        peers.forEach(peer -> vmDomains.put(peer.vm(), peer.domain()));
        return vmDomains;
    }

    static Node compose(String yaml) throws SettingsException {
        try {
            Node node = new Yaml(new LoaderOptions()).compose(new StringReader(yaml));
            if (node == null) {
                throw new SettingsException("file", 1, "is empty");
            }
            return node;
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            throw new SettingsException("file", line, "is not valid YAML: " + e.getProblem());
        }
    }

    private static List<VmId> vms(SettingsNode node, String key) throws SettingsException {
        List<VmId> vms = node.names(key).stream().map(VmId::new).toList();
        if (vms.isEmpty() || Set.copyOf(vms).size() != vms.size()) {
            throw node.exceptionAt(key, "must name at least one VM and must not contain duplicates");
        }
        return vms;
    }

    private static FailureDomainId domain(SettingsNode node, String key, List<FailureDomainId> domains)
            throws SettingsException {
        FailureDomainId domain = new FailureDomainId(node.name(key));
        if (!domains.contains(domain)) {
            throw node.exceptionAt(key, "\"" + domain + "\" is not one of domains");
        }
        return domain;
    }

    private static Map<FailureDomainId, List<VmId>> ledgerVoters(SettingsNode root, List<FailureDomainId> domains)
            throws SettingsException {
        SettingsNode node = root.mapping(SettingKey.LEDGER_VOTERS.text());
        Map<FailureDomainId, List<VmId>> voters = new LinkedHashMap<>();
        for (FailureDomainId domain : domains) {
            voters.put(domain, vms(node, domain.name()));
        }
        node.rejectUnknownKeys(
                Set.copyOf(domains.stream().map(FailureDomainId::name).toList()));
        return voters;
    }

    private static List<Peer> peers(SettingsNode root, List<FailureDomainId> domains) throws SettingsException {
        List<Peer> peers = new ArrayList<>();
        for (SettingsNode node : root.mappings(SettingKey.PEERS.text())) {
            node.rejectUnknownKeys(Set.of("vm", "domain", "address"));
            peers.add(new Peer(new VmId(node.name("vm")), domain(node, "domain", domains), node.address("address")));
        }
        return peers;
    }

    static ByteString hash(SettingsNode node, String key) throws SettingsException {
        String text = node.text(key);
        if (!text.matches("[0-9a-f]{" + HASH_HEX_DIGITS + "}")) {
            throw node.exceptionAt(
                    key, "must be " + HASH_HEX_DIGITS + " hexadecimal digits, the SHA-256 of the secret");
        }
        return ByteString.fromHex(text);
    }

    private static Limits limits(SettingsNode root) throws SettingsException {
        long electionTimeoutMillis = root.number(
                SettingKey.ELECTION_TIMEOUT.text(), ReplicaSettings.DEFAULT_ELECTION_TIMEOUT_MILLIS, 100, 10_000);
        long maxBodyBytes = root.number(SettingKey.MAX_BODY_BYTES.text(), 1 << 20, 1 << 10, 1 << 24);
        long maxAnswerBytes = root.number(SettingKey.MAX_ANSWER_BYTES.text(), 1 << 23, 1 << 10, 1 << 26);
        long maxClientRate = root.number(SettingKey.MAX_CLIENT_RATE.text(), 0, 0, 1_000_000);
        return new Limits(
                electionTimeoutMillis, Math.toIntExact(maxBodyBytes), Math.toIntExact(maxAnswerBytes), maxClientRate);
    }

    private static Optional<Tls> tls(SettingsNode root) throws SettingsException {
        if (!root.has(SettingKey.TLS.text())) {
            return Optional.empty();
        }
        SettingsNode node = root.mapping(SettingKey.TLS.text());
        node.rejectUnknownKeys(Set.of("certificateFile", "keyFile", "authorityFile"));
        return Optional.of(new Tls(
                Path.of(node.text("certificateFile")),
                Path.of(node.text("keyFile")),
                Path.of(node.text("authorityFile"))));
    }

    private void checkVoters(SettingsNode root) throws SettingsException {
        boolean isVoter =
                cellVoters.contains(vm) || ledgerVoters.values().stream().anyMatch(voters -> voters.contains(vm));
        if (isVoter && dataFolder.isEmpty()) {
            throw root.exceptionAt(SettingKey.DATA_FOLDER.text(), "is missing, but a VM that is a voter requires it");
        }
        for (VmId voter : cellVoters) {
            if (!allVms().containsKey(voter)) {
                throw root.exceptionAt(
                        SettingKey.CELL_VOTERS.text(), "\"" + voter + "\" is neither this VM nor a peer");
            }
        }
        for (List<VmId> voters : ledgerVoters.values()) {
            if (!allVms().keySet().containsAll(voters)) {
                throw root.exceptionAt(SettingKey.LEDGER_VOTERS.text(), "a voter is neither this VM nor a peer");
            }
        }
    }
}
