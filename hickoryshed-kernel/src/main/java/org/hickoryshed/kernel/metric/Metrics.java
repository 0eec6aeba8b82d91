package org.hickoryshed.kernel.metric;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/** The metrics of one process. */
public final class Metrics {

  /** The prefix of the names of all metrics. */
  private static final String PREFIX = "hickoryshed_";

  /** The registry of the process. */
  private final PrometheusRegistry registry = new PrometheusRegistry();

  /** The counters by their names. */
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();

  /** The histograms by their names. */
  private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();

  /**
   * Returns a counter with one label.
   *
   * @param name The name of the counter without prefix and suffix.
   * @param label The name of the label.
   * @param value The value of the label.
   * @return The counter.
   */
  public CounterDataPoint counter(String name, String label, String value) {
    return counters
        .computeIfAbsent(
            name, key -> Counter.builder().name(PREFIX + key).labelNames(label).register(registry))
        .labelValues(value);
  }

  /**
   * Records a duration.
   *
   * @param name The name of the histogram without prefix and unit.
   * @param nanoseconds The duration in nanoseconds.
   */
  public void recordDuration(String name, long nanoseconds) {
    histograms
        .computeIfAbsent(
            name,
            key ->
                Histogram.builder()
                    .name(PREFIX + key + "_seconds")
                    .classicUpperBounds(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10)
                    .register(registry))
        .observe(nanoseconds / 1e9);
  }

  /**
   * Registers a gauge that is read when the metrics are written.
   *
   * @param name The name of the gauge without prefix.
   * @param value The source of the value.
   */
  public void registerGauge(String name, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Writes all metrics in the text format.
   *
   * @return The metrics in the text format of Prometheus.
   */
  public byte[] write() {
    try (ByteArrayOutputStream output = new ByteArrayOutputStream()) {
      PrometheusTextFormatWriter.builder().build().write(output, registry.scrape());
      return output.toByteArray();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
