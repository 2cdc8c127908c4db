package org.wasabimount.daemon.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of one process, and how they are written. */
class MetricsPage {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    PrometheusRegistry registry() {
        return registry;
    }

    static double seconds(long millis) {
        return millis / MILLIS_PER_SECOND;
    }

    /**
     * Adds a gauge that is read when the metrics are.
     *
     * @param name the metric's name
     * @param help what it means
     * @param value reads the value, from any thread
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @return the text's bytes
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("memory can't be written", e);
        }
        return out.toByteArray();
    }
}
