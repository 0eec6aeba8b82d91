package org.hickoryshed.load.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * An experiment.
 *
 * @param name The name of the experiment.
 * @param warmUp The time before the measurement.
 * @param duration The time of the measurement.
 * @param replicaLag The time by which replicas apply entries late.
 * @param streams The streams.
 * @param variants The variants, the baseline first.
 * @param crestStart The time at which the crest begins.
 * @param crestLength The length of the crest, zero for none.
 * @param crestFactor The factor by which the crest raises the rate.
 * @param killAfter The time at which the primary of each database is halted, if at all.
 */
record Experiment(
    String name,
    Duration warmUp,
    Duration duration,
    Duration replicaLag,
    List<StreamSpec> streams,
    List<Variant> variants,
    Duration crestStart,
    Duration crestLength,
    int crestFactor,
    Optional<Duration> killAfter) {

  /** The default time before the measurement. */
  private static final Duration WARM_UP = Duration.ofSeconds(4);

  /** The default time of the measurement. */
  private static final Duration DURATION = Duration.ofSeconds(10);

  /**
   * Reads an experiment.
   *
   * @param reader The reader, which collects the problems.
   * @return The experiment, to be used only if there are no problems.
   */
  static Experiment read(SettingsReader reader) {
    List<StreamSpec> streams =
        reader.tableNames("streams").stream().map(name -> StreamSpec.read(reader, name)).toList();
    List<Variant> variants =
        reader.tableNames("variants").stream().map(name -> Variant.read(reader, name)).toList();
    return new Experiment(
        reader.text("name"),
        reader.duration("warm-up", WARM_UP),
        reader.duration("duration", DURATION),
        reader.duration("replica-lag", Duration.ZERO),
        streams,
        variants,
        reader.duration("crest.start", Duration.ZERO),
        reader.duration("crest.length", Duration.ZERO),
        reader.integer("crest.factor", 1, 1, 10),
        reader.optionalDuration("kill-after"));
  }

  /**
   * Returns the factor of the rate at a time.
   *
   * @param elapsedMillis The time since the start of the measurement in milliseconds.
   * @return The factor.
   */
  int factor(long elapsedMillis) {
    long since = elapsedMillis - crestStart.toMillis();
    return since >= 0 && since < crestLength.toMillis() ? crestFactor : 1;
  }
}
