package org.wasabimount.daemon.settings;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/** The keys of the settings file, as documented in docs/SETTINGS.md. */
public enum SettingKey {
    /** This VM's name. */
    VM("vm", "name", "required"),
    /** This VM's failure domain. */
    DOMAIN("domain", "name, one of domains", "required"),
    /** The address to which callers, operators, workers and backend servers connect. */
    HTTP_ADDRESS("httpAddress", "IP number and port", "required"),
    /** The address to which other daemons connect. */
    PEER_ADDRESS("peerAddress", "IP number and port", "required"),
    /** The folder for durable state. */
    DATA_FOLDER("dataFolder", "path", "none: this VM only learns"),
    /** All failure domains, in an order that never changes. */
    DOMAINS("domains", "list of names", "required"),
    /** The voters of the cell's group when the cell is created. */
    CELL_VOTERS("cellVoters", "list of VMs", "required"),
    /** The voters of each domain's ledger group when the cell is created. */
    LEDGER_VOTERS("ledgerVoters", "mapping of domains to lists of VMs", "required"),
    /** The other daemons. */
    PEERS("peers", "list of vm, domain, address", "required"),
    /** SHA-256 of the platform operator's secret. */
    ADMIN_SECRET_HASH("adminSecretHash", "64 hexadecimal digits", "required"),
    /** SHA-256 of the secret with which workers and backend servers authenticate their announcements. */
    PLATFORM_SECRET_HASH("platformSecretHash", "64 hexadecimal digits", "required"),
    /** Shortest time without contact from the leader before an election starts. */
    ELECTION_TIMEOUT("electionTimeoutMillis", "100 to 10000 milliseconds", "400"),
    /** How a backend server is chosen; all policies but FAIR_SLOTS are baselines for benchmarks. */
    ROUTING_POLICY("routingPolicy", "FAIR_SLOTS, ROUND_ROBIN, RANDOM or LEAST_OUTSTANDING", "FAIR_SLOTS"),
    /** Maximum size of a request body. */
    MAX_BODY_BYTES("maxBodyBytes", "1024 to 16777216 bytes", "1048576"),
    /** Maximum size of a backend response that is forwarded. */
    MAX_ANSWER_BYTES("maxAnswerBytes", "1024 to 67108864 bytes", "8388608"),
    /** Maximum requests per second from one client address, enforced before credentials are checked. */
    MAX_CLIENT_RATE("maxClientRequestsPerSecond", "0 to 1000000, 0 for no limit", "0"),
    /** The format of log lines. */
    LOG_FORMAT("logFormat", "PLAIN or JSON", "PLAIN"),
    /** The lowest log level that is written. */
    LOG_LEVEL("logLevel", "DEBUG, INFO, WARNING or ERROR", "INFO"),
    /** Certificate, key and authority files for the links between daemons. */
    TLS("tls", "mapping of certificateFile, keyFile, authorityFile", "none: links are not protected");

    private final String text;
    private final String allowedValues;
    private final String defaultText;

    SettingKey(String text, String allowedValues, String defaultText) {
        this.text = text;
        this.allowedValues = allowedValues;
        this.defaultText = defaultText;
    }

    /**
     * Returns all top-level keys of the file.
     *
     * @return the keys as written in the file
     */
    public static Set<String> texts() {
        return Arrays.stream(values()).map(SettingKey::text).collect(Collectors.toSet());
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
