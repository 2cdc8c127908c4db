package org.wasabimount.core.log;

import org.wasabimount.core.Validate;

/**
 * The fixed parameters of one replica.
 *
 * @param group the group's name
 * @param self this replica's identity, see {@link ReplicaIdentity}
 * @param electionTimeoutMillis shortest time without contact from a leader after which an election may start
 * @param heartbeatMillis interval between a leader's heartbeats
 * @param leaseMarginMillis by how much a leader's lease is shorter than the election timeout
 * @param maxBatchEntries maximum number of entries in one append request
 * @param maxBatchBytes maximum size in bytes of the entries in one append request, except that one entry is always sent
 * @param seed seed of the random part of the election timeout
 */
public record ReplicaSettings(
        String group,
        String self,
        long electionTimeoutMillis,
        long heartbeatMillis,
        long leaseMarginMillis,
        int maxBatchEntries,
        long maxBatchBytes,
        long seed) {

    /** The default shortest election timeout, in milliseconds. */
    public static final long DEFAULT_ELECTION_TIMEOUT_MILLIS = 400;

    private static final int DEFAULT_MAX_BATCH_ENTRIES = 512;
    private static final long DEFAULT_MAX_BATCH_BYTES = 1 << 20;
    private static final int HEARTBEATS_PER_TIMEOUT = 4;
    private static final int LEASE_MARGIN_DIVISOR = 10;

    /**
     * Checks the parameters.
     *
     * @throws IllegalArgumentException if a lease could outlast the election timeout
     */
    public ReplicaSettings {
        Validate.notEmpty(group, "group");
        Validate.notEmpty(self, "self");
        Validate.positive(heartbeatMillis, "heartbeatMillis");
        Validate.positive(leaseMarginMillis, "leaseMarginMillis");
        Validate.positive(electionTimeoutMillis - leaseMarginMillis, "electionTimeoutMillis - leaseMarginMillis");
    }

    /**
     * Derives every parameter from the election timeout.
     *
     * @param group the group's name
     * @param self this replica's identity
     * @param electionTimeoutMillis shortest time without contact from a leader after which an election may start
     * @param seed seed of the random part of election timeouts
     * @return the settings
     */
    public static ReplicaSettings of(String group, String self, long electionTimeoutMillis, long seed) {
        return new ReplicaSettings(
                group,
                self,
                electionTimeoutMillis,
                electionTimeoutMillis / HEARTBEATS_PER_TIMEOUT,
                Math.max(1, electionTimeoutMillis / LEASE_MARGIN_DIVISOR),
                DEFAULT_MAX_BATCH_ENTRIES,
                DEFAULT_MAX_BATCH_BYTES,
                seed);
    }
}
