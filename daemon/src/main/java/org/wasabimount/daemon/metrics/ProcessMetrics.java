package org.wasabimount.daemon.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of one process, with their export in the Prometheus text format. */
class ProcessMetrics {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    PrometheusRegistry registry() {
        return registry;
    }

    // Exemplars are of no use without tracing, and each observation that samples one sets a timer.

    static Counter.Builder counter() {
        return Counter.builder().withoutExemplars();
    }

    static Histogram.Builder histogram() {
        return Histogram.builder().withoutExemplars();
    }

    static Gauge.Builder settableGauge() {
        return Gauge.builder().withoutExemplars();
    }

    static double seconds(long millis) {
        return millis / MILLIS_PER_SECOND;
    }

    /**
     * Adds a gauge whose value is read whenever the metrics are exported.
     *
     * @param name the metric's name
     * @param help the metric's help text
     * @param value returns the current value; called from any thread
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /**
     * Exports all metrics in the Prometheus text format.
     *
     * @return the encoded text
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write metrics to memory", e);
        }
        return out.toByteArray();
    }
}
