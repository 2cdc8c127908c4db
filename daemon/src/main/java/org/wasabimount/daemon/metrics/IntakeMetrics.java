package org.wasabimount.daemon.metrics;

import java.util.Arrays;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;

/** The metrics of what a node holds for its clients, and of the requests and connections beyond its limits. */
public final class IntakeMetrics {

    private final NodeMetrics node;
    private final Counter refusals;

    /** Which limit a request or connection has met. */
    public enum Reason {
        /** The body is too large. */
        BODY_SIZE,
        /** The body has not arrived in time. */
        BODY_PROGRESS,
        /** The body could not be read: it is malformed, or the client has closed the connection. */
        UNREADABLE,
        /** Open requests hold too many bytes. */
        OPEN_BYTES,
        /** The client does not read its response. */
        RESPONSE_PROGRESS,
        /** Too many connections are open. */
        CONNECTIONS,
        /** The connection ended before a whole request: the headers were too large or too slow, or nothing was sent. */
        NO_REQUEST
    }

    /**
     * Adds the metrics to those of a node.
     *
     * @param node the node's metrics
     */
    public IntakeMetrics(NodeMetrics node) {
        this.node = node;
        this.refusals = ProcessMetrics.counter()
                .name("wasabimount_intake_refusals")
                .help("Requests and connections that were refused or closed because of a limit, by limit")
                .labelNames("reason")
                .register(node.registry());
        Arrays.stream(Reason.values()).map(Reason::name).forEach(refusals::initLabelValues);
    }

    /**
     * Exports what the node holds.
     *
     * @param heldBytes returns the bytes that open requests hold; called from any thread
     * @param connections returns the number of open connections; called from any thread
     */
    public void observe(DoubleSupplier heldBytes, DoubleSupplier connections) {
        node.gauge("wasabimount_open_request_bytes", "Bytes that open requests hold", heldBytes);
        node.gauge(
                "wasabimount_open_connections", "Open connections of clients, workers and the operator", connections);
    }

    /**
     * Counts a request or connection that was refused or closed.
     *
     * @param reason the limit that it has met
     */
    public void refused(Reason reason) {
        refusals.labelValues(reason.name()).inc();
    }
}
