package org.wasabimount.core.intake;

import org.wasabimount.core.Validate;

/**
 * The limits of what a process accepts from its clients.
 *
 * @param maxEntryBodyBytes the largest request body of a client, in bytes
 * @param maxControlBodyBytes the largest request body of a worker or of the operator, in bytes
 * @param openBytes the bytes that all open requests of the process may hold
 * @param progressTimeoutMillis how long an unfinished body or an unread response may stay without progress
 * @param maxConnections the connections that may be open at the same time
 * @param maxHeaderBytes the largest request line and headers, in bytes
 * @param headerTimeoutMillis how long a request line and headers may take to arrive
 */
public record IntakeLimits(
        long maxEntryBodyBytes,
        long maxControlBodyBytes,
        long openBytes,
        long progressTimeoutMillis,
        int maxConnections,
        int maxHeaderBytes,
        long headerTimeoutMillis) {

    /** Four times the largest job: JSON takes more bytes than the encoded job. */
    public static final long DEFAULT_ENTRY_BODY_BYTES = 1 << 20;

    /** A configuration with thousands of routes is smaller. */
    public static final long DEFAULT_CONTROL_BODY_BYTES = 4 << 20;

    /** Ten times what workers and the operator wait for a response. */
    public static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

    /** Headers of 16 KiB, the largest that clients send, and a request line of 4 KiB. */
    public static final int DEFAULT_HEADER_BYTES = 20 << 10;

    private static final long OPEN_SHARE_OF_HEAP = 4;

    /** Three times the largest headers; the two buffers of a connection take 16 KiB outside of the heap. */
    private static final long HEAP_BYTES_PER_CONNECTION = 64 << 10;

    /** The smallest VMs allow 3,075 descriptors; files and connections to workers and peers take the rest. */
    private static final long MAX_DEFAULT_CONNECTIONS = 2_000;

    /** Validates the limits. */
    public IntakeLimits {
        Validate.positive(maxEntryBodyBytes, "maxEntryBodyBytes");
        Validate.positive(maxControlBodyBytes, "maxControlBodyBytes");
        Validate.positive(openBytes, "openBytes");
        Validate.positive(progressTimeoutMillis, "progressTimeoutMillis");
        Validate.positive(maxConnections, "maxConnections");
        Validate.positive(maxHeaderBytes, "maxHeaderBytes");
        Validate.positive(headerTimeoutMillis, "headerTimeoutMillis");
    }

    /**
     * Returns the default of the bytes that open requests may hold: a quarter of the heap, so that parsing and the
     * process's own state keep the larger part.
     *
     * @param heapBytes the maximum size of the heap
     * @return the limit in bytes
     */
    public static long defaultOpenBytes(long heapBytes) {
        return heapBytes / OPEN_SHARE_OF_HEAP;
    }

    /**
     * Returns the default of the connections that may be open, so that their headers and buffers fit into the process.
     *
     * @param heapBytes the maximum size of the heap
     * @return the number of connections
     */
    public static int defaultConnections(long heapBytes) {
        return (int) Math.max(1, Math.min(MAX_DEFAULT_CONNECTIONS, heapBytes / HEAP_BYTES_PER_CONNECTION));
    }
}
