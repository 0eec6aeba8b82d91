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

/**
 * The metrics of one process in the format of Prometheus. All names get the prefix {@code
 * hickoryshed_}. Thread-safe.
 */
public final class Metrics {

  private static final String PREFIX = "hickoryshed_";

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Map<String, Counter> counters = new ConcurrentHashMap<>();

  private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();

  /**
   * Returns a counter with one label and registers it on its first use.
   *
   * @param name The name of the counter without prefix and suffix.
   * @param label The name of the label, the same for each use of the counter.
   * @param value The value of the label.
   * @return The counter of this value of the label.
   */
  public CounterDataPoint counter(String name, String label, String value) {
    return counters
        .computeIfAbsent(
            name, key -> Counter.builder().name(PREFIX + key).labelNames(label).register(registry))
        .labelValues(value);
  }

  /**
   * Adds a duration to a histogram, which is registered on its first use. Its buckets reach from
   * one millisecond to ten seconds.
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
   * Registers a gauge whose value is read at each scrape.
   *
   * @param name The name of the gauge without prefix, registered once.
   * @param value The source of the value, called by the thread that serves the scrape.
   */
  public void registerGauge(String name, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Writes all metrics.
   *
   * @return The metrics in the Prometheus text format.
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
