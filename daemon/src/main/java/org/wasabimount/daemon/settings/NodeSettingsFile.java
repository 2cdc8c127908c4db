package org.wasabimount.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.VmId;
import org.wasabimount.core.dispatch.DispatchSettings;
import org.wasabimount.core.intake.IntakeLimits;
import org.wasabimount.core.interference.SharingTerms;
import org.wasabimount.daemon.node.NodeSettings;

import com.google.protobuf.ByteString;

/**
 * The settings file of a node of a deployment that runs jobs.
 *
 * @param node the node's own settings
 * @param listenAddresses the addresses on which the node accepts connections
 * @param adviceAddress the address of the advice service, empty if there is none
 * @param drainMillis the maximum time for a graceful stop, in milliseconds
 * @param intake the limits of what the node accepts from clients, workers and the operator
 * @param logging the format and level of the log
 * @param operatorSecretHash the SHA-256 of the operator's secret, empty if nobody may ask for explanations
 */
public record NodeSettingsFile(
        NodeSettings node,
        ListenAddresses listenAddresses,
        Optional<InetSocketAddress> adviceAddress,
        long drainMillis,
        IntakeLimits intake,
        DaemonSettings.Logging logging,
        Optional<ByteString> operatorSecretHash) {

    private static final int MAX_PORT = 65_535;
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_BODY_BYTES = 16 << 20;

    /**
     * The addresses on which a node listens.
     *
     * @param entry for clients, empty if the node does not serve clients
     * @param ready for the load balancer's readiness check, empty if the node does not serve clients
     * @param control for workers and the operator, empty if the node holds no replica
     * @param metrics for metrics scrapers, empty if the node does not expose metrics
     */
    public record ListenAddresses(
            Optional<InetSocketAddress> entry,
            Optional<InetSocketAddress> ready,
            Optional<InetSocketAddress> control,
            Optional<InetSocketAddress> metrics) {}

    /** The keys of the file, as documented in docs/SETTINGS.md. */
    public enum Key {
        /** This VM's address, which also identifies it to its peers. */
        VM("vm", "IP number", "required"),
        /** This VM's failure domain. */
        DOMAIN("domain", "name", "required"),
        /** The port on which every node listens for its peers. */
        PEER_PORT("peerPort", "1 to 65535", "required"),
        /** VMs that held replicas when the file was written. */
        SEEDS("seeds", "IP numbers joined by commas, a port after each is ignored", "required"),
        /** Whether the whole deployment starts for the first time. */
        FIRST_START("firstStart", "true or false", "required"),
        /** The folder for durable state. */
        DATA_FOLDER("dataFolder", "path", "none: this VM holds no replica"),
        /** How many replicas may fail at the same time. */
        REPLICAS_LOST("replicasLostAtOnce", "0 to 5", "1"),
        /** The address to which clients connect. */
        ENTRY_ADDRESS("entryAddress", "IP number and port", "none: this VM takes no clients"),
        /** The address on which the load balancer checks whether this VM accepts connections. */
        READY_ADDRESS("readyAddress", "IP number and port", "none"),
        /** The address to which workers and the operator connect. */
        CONTROL_ADDRESS("controlAddress", "IP number and port", "none"),
        /** The address on which metrics are served. */
        METRICS_ADDRESS("metricsAddress", "IP number and port", "none"),
        /** The address on which the advice service listens. */
        ADVICE_ADDRESS("adviceAddress", "IP number and port", "none"),
        /** Maximum duration of the leases that workers grant. */
        LEASE("leaseMillis", "1000 to 3600000 milliseconds", "6000"),
        /** How long a task of a gang waits for the others. */
        GANG("gangMillis", "100 to 3600000 milliseconds", "3000"),
        /** How long the status of an ended job can be queried. */
        STATUS("statusSeconds", "1 to 86400 seconds", "120"),
        /** How often a task saves its progress. */
        CHECKPOINT("checkpointSeconds", "1 to 3600 seconds", "2"),
        /** How long a worker may take to stop a task. */
        STOP("stopMillis", "0 to 3600000 milliseconds", "1000"),
        /** The interval between two announcements of a worker. */
        ANNOUNCE("announceMillis", "100 to 3600000 milliseconds", "1500"),
        /** How long a change of a worker may go unnoticed, beside the interval of its announcements. */
        CONTACT("contactMillis", "100 to 3600000 milliseconds", "3000"),
        /** How long a serving task may miss its target on end because of fillers beside it. */
        HARM("harmMillis", "0 to 3600000 milliseconds", "0"),
        /** The time after which a worker has carried out a pacing order. */
        PACE("paceMillis", "0 to 3600000 milliseconds", "0"),
        /** Maximum time for a graceful stop of this VM. */
        DRAIN("drainSeconds", "1 to 3600 seconds", "6"),
        /** The largest request body of a client. */
        MAX_ENTRY_BODY("maxEntryBodyBytes", "1024 to 16777216 bytes", "1048576"),
        /** The largest request body of a worker or of the operator. */
        MAX_CONTROL_BODY("maxControlBodyBytes", "1024 to 16777216 bytes", "4194304"),
        /** What all open requests may hold. */
        OPEN_BYTES("openBytes", "65536 to 1073741824 bytes", "a quarter of the heap"),
        /** How long an unfinished body or an unread response may stay without progress. */
        PROGRESS_TIMEOUT("progressTimeoutMillis", "1000 to 3600000 milliseconds", "10000"),
        /** How many connections may be open at the same time. */
        MAX_CONNECTIONS("maxConnections", "16 to 65535", "one for each 64 KiB of the heap, at most 2000"),
        /** The largest request line and headers. */
        MAX_HEADER("maxHeaderBytes", "1024 to 1048576 bytes", "20480"),
        /** How long a request line and headers may take to arrive. */
        HEADER_TIMEOUT("headerTimeoutMillis", "1000 to 3600000 milliseconds", "10000"),
        /** The SHA-256 of the secret with which an operator asks for explanations. */
        OPERATOR_SECRET("operatorSecretHash", "64 hexadecimal digits", "none: explanations are refused"),
        /** The format of log lines. */
        LOG_FORMAT("logFormat", "PLAIN or JSON", "JSON"),
        /** The lowest log level that is written. */
        LOG_LEVEL("logLevel", "DEBUG, INFO, WARNING or ERROR", "INFO");

        private final String text;
        private final String allowedValues;
        private final String defaultText;

        Key(String text, String allowedValues, String defaultText) {
            this.text = text;
            this.allowedValues = allowedValues;
            this.defaultText = defaultText;
        }

        /**
         * Returns the key as written in the file.
         *
         * @return the key
         */
        public String text() {
            return text;
        }

        /**
         * Returns a description of the allowed values.
         *
         * @return the description, with unit and range
         */
        public String allowedValues() {
            return allowedValues;
        }

        /**
         * Returns a description of the default.
         *
         * @return the default value, or that the key is required
         */
        public String defaultText() {
            return defaultText;
        }
    }

    /**
     * Parses and validates the text of a file.
     *
     * @param yaml the YAML text
     * @return the settings
     * @throws SettingsException if the file is invalid
     */
    public static NodeSettingsFile parse(String yaml) throws SettingsException {
        SettingsNode root = SettingsNode.root(DaemonSettings.compose(yaml));
        Set<String> knownKeys = Arrays.stream(Key.values()).map(Key::text).collect(Collectors.toSet());
        root.rejectUnknownKeys(knownKeys);
        List<VmId> seeds = Arrays.stream(root.text(Key.SEEDS.text()).split(","))
                .map(seed -> new VmId(seed.trim().split(":")[0]))
                .toList();
        long replicasLost = number(root, Key.REPLICAS_LOST, 1, 0, 5);
        NodeSettings node = new NodeSettings(
                new VmId(root.name(Key.VM.text())),
                new FailureDomainId(root.name(Key.DOMAIN.text())),
                (int) requiredNumber(root, Key.PEER_PORT, MAX_PORT),
                seeds,
                root.text(Key.FIRST_START.text()).equals("true"),
                Optional.ofNullable(root.text(Key.DATA_FOLDER.text(), null)).map(Path::of),
                (int) (2 * replicasLost + 1),
                new DispatchSettings(
                        number(root, Key.LEASE, 6_000, 1_000, MAX_MILLIS),
                        number(root, Key.GANG, 3_000, 100, MAX_MILLIS),
                        1_000 * number(root, Key.STATUS, 120, 1, 86_400),
                        1_000 * number(root, Key.CHECKPOINT, 2, 1, 3_600),
                        number(root, Key.STOP, 1_000, 0, MAX_MILLIS),
                        number(root, Key.ANNOUNCE, 1_500, 100, MAX_MILLIS),
                        number(root, Key.CONTACT, 3_000, 100, MAX_MILLIS),
                        new SharingTerms(
                                number(root, Key.HARM, 0, 0, MAX_MILLIS), number(root, Key.PACE, 0, 0, MAX_MILLIS))));
        ListenAddresses listenAddresses = new ListenAddresses(
                address(root, Key.ENTRY_ADDRESS),
                address(root, Key.READY_ADDRESS),
                address(root, Key.CONTROL_ADDRESS),
                address(root, Key.METRICS_ADDRESS));
        return new NodeSettingsFile(
                node,
                listenAddresses,
                address(root, Key.ADVICE_ADDRESS),
                1_000 * number(root, Key.DRAIN, 6, 1, 3_600),
                intake(root),
                new DaemonSettings.Logging(
                        root.enumConstant(Key.LOG_FORMAT.text(), DaemonSettings.LogFormat.JSON),
                        root.enumConstant(Key.LOG_LEVEL.text(), DaemonSettings.LogLevel.INFO)),
                root.has(Key.OPERATOR_SECRET.text())
                        ? Optional.of(DaemonSettings.hash(root, Key.OPERATOR_SECRET.text()))
                        : Optional.empty());
    }

    private static IntakeLimits intake(SettingsNode root) throws SettingsException {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new IntakeLimits(
                number(root, Key.MAX_ENTRY_BODY, IntakeLimits.DEFAULT_ENTRY_BODY_BYTES, 1_024, MAX_BODY_BYTES),
                number(root, Key.MAX_CONTROL_BODY, IntakeLimits.DEFAULT_CONTROL_BODY_BYTES, 1_024, MAX_BODY_BYTES),
                number(root, Key.OPEN_BYTES, IntakeLimits.defaultOpenBytes(heapBytes), 1 << 16, 1 << 30),
                number(root, Key.PROGRESS_TIMEOUT, IntakeLimits.DEFAULT_TIMEOUT_MILLIS, 1_000, MAX_MILLIS),
                (int) number(root, Key.MAX_CONNECTIONS, IntakeLimits.defaultConnections(heapBytes), 16, MAX_PORT),
                (int) number(root, Key.MAX_HEADER, IntakeLimits.DEFAULT_HEADER_BYTES, 1_024, 1 << 20),
                number(root, Key.HEADER_TIMEOUT, IntakeLimits.DEFAULT_TIMEOUT_MILLIS, 1_000, MAX_MILLIS));
    }

    private static long requiredNumber(SettingsNode root, Key key, long max) throws SettingsException {
        root.text(key.text());
        return root.number(key.text(), 0, 1, max);
    }

    private static long number(SettingsNode root, Key key, long defaultValue, long min, long max)
            throws SettingsException {
        return root.number(key.text(), defaultValue, min, max);
    }

    private static Optional<InetSocketAddress> address(SettingsNode root, Key key) throws SettingsException {
        return root.has(key.text()) ? Optional.of(root.address(key.text())) : Optional.empty();
    }
}
