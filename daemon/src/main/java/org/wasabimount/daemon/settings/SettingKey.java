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
    /** Where callers, operators, workers and backend servers connect. */
    HTTP_ADDRESS("httpAddress", "IP number and port", "required"),
    /** Where other daemons connect. */
    PEER_ADDRESS("peerAddress", "IP number and port", "required"),
    /** The folder for durable state. */
    DATA_FOLDER("dataFolder", "path", "none: this VM only learns"),
    /** All failure domains, in an order that never changes. */
    DOMAINS("domains", "list of names", "required"),
    /** The VMs that vote in the cell's group when the cell is made. */
    CELL_VOTERS("cellVoters", "list of VMs", "required"),
    /** The VMs that vote in each domain's ledger group when the cell is made. */
    LEDGER_VOTERS("ledgerVoters", "mapping of domains to lists of VMs", "required"),
    /** The other daemons. */
    PEERS("peers", "list of vm, domain, address", "required"),
    /** SHA-256 of the platform operator's secret. */
    ADMIN_SECRET_HASH("adminSecretHash", "64 hexadecimal digits", "required"),
    /** SHA-256 of the secret that workers and backend servers announce themselves with. */
    PLATFORM_SECRET_HASH("platformSecretHash", "64 hexadecimal digits", "required"),
    /** Shortest silence of a leader before an election. */
    ELECTION_TIMEOUT("electionTimeoutMillis", "100 to 10000 milliseconds", "400"),
    /** How a backend server is chosen; all but FAIR_SLOTS are baselines for measurements. */
    ROUTING_POLICY("routingPolicy", "FAIR_SLOTS, ROUND_ROBIN, RANDOM or LEAST_OUTSTANDING", "FAIR_SLOTS"),
    /** Largest body of a request. */
    MAX_BODY_BYTES("maxBodyBytes", "1024 to 16777216 bytes", "1048576"),
    /** Largest answer that is passed on. */
    MAX_ANSWER_BYTES("maxAnswerBytes", "1024 to 67108864 bytes", "8388608"),
    /** Requests per second that one client address may send before credentials are checked. */
    MAX_CLIENT_RATE("maxClientRequestsPerSecond", "0 to 1000000, 0 for no limit", "0"),
    /** How log lines are written. */
    LOG_FORMAT("logFormat", "PLAIN or JSON", "PLAIN"),
    /** The least important log lines that are written. */
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
     * Returns all keys of the file's top level.
     *
     * @return the keys' texts
     */
    public static Set<String> texts() {
        return Arrays.stream(values()).map(SettingKey::text).collect(Collectors.toSet());
    }

    /**
     * Returns the key as it is written.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    /**
     * Returns which values are allowed.
     *
     * @return the allowed values, with their unit and range
     */
    public String allowedValues() {
        return allowedValues;
    }

    /**
     * Returns what holds if the key is missing.
     *
     * @return the default, or that the key is required
     */
    public String defaultText() {
        return defaultText;
    }
}
