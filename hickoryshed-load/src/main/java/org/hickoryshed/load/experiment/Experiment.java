package org.hickoryshed.load.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * An experiment, read from its TOML file: streams of requests that run once under each variant of
 * the configuration.
 *
 * @param name The name of the experiment.
 * @param warmUp The time for which the streams run before the measurement.
 * @param duration The time of the measurement.
 * @param replicaLag The replication lag that is injected into all members.
 * @param streams The streams, which run concurrently.
 * @param variants The variants in the order in which they run, the baseline first.
 * @param peakStart The time of the load peak after the start of the measurement; the settings call
 *     the peak {@code crest}.
 * @param peakLength The length of the load peak, zero for no peak.
 * @param peakFactor The factor by which the peak multiplies the rate of the streams that follow it.
 * @param killAfter The time after the start of the measurement at which the primary of each
 *     database is halted; empty for never.
 */
record Experiment(
    String name,
    Duration warmUp,
    Duration duration,
    Duration replicaLag,
    List<StreamSpec> streams,
    List<Variant> variants,
    Duration peakStart,
    Duration peakLength,
    int peakFactor,
    Optional<Duration> killAfter) {

  private static final Duration DEFAULT_WARM_UP = Duration.ofSeconds(4);

  private static final Duration DEFAULT_DURATION = Duration.ofSeconds(10);

  /**
   * Reads an experiment.
   *
   * @param reader The reader, which collects the problems that it finds.
   * @return The experiment; meaningless if the reader has found problems.
   */
  static Experiment read(SettingsReader reader) {
    List<StreamSpec> streams =
        reader.tableNames("streams").stream().map(name -> StreamSpec.read(reader, name)).toList();
    List<Variant> variants =
        reader.tableNames("variants").stream().map(name -> Variant.read(reader, name)).toList();
    return new Experiment(
        reader.text("name"),
        reader.duration("warm-up", DEFAULT_WARM_UP),
        reader.duration("duration", DEFAULT_DURATION),
        reader.duration("replica-lag", Duration.ZERO),
        streams,
        variants,
        reader.duration("crest.start", Duration.ZERO),
        reader.duration("crest.length", Duration.ZERO),
        reader.integer("crest.factor", 1, 1, 10),
        reader.optionalDuration("kill-after"));
  }

  /**
   * Returns the factor by which the rate is multiplied at a time.
   *
   * @param elapsedMillis The time since the start of the measurement in milliseconds, negative
   *     during the warm-up.
   * @return The factor, one outside the load peak.
   */
  int rateFactor(long elapsedMillis) {
    long sincePeak = elapsedMillis - peakStart.toMillis();
    return sincePeak >= 0 && sincePeak < peakLength.toMillis() ? peakFactor : 1;
  }
}
