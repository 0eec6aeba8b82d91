package org.hickoryshed.decision.configuration;

/** A reason to refuse a configuration. */
public sealed interface ConfigurationProblem {

  /**
   * Returns the path of the faulty entry.
   *
   * @return The dotted path of the faulty entry.
   */
  String path();

  /**
   * A route that names a pool that does not exist.
   *
   * @param path The dotted path of the faulty entry.
   * @param pool The name of the missing pool.
   */
  record MissingPool(String path, String pool) implements ConfigurationProblem {}

  /**
   * A name that stands twice.
   *
   * @param path The dotted path of the faulty entry.
   * @param name The name.
   */
  record DuplicateName(String path, String name) implements ConfigurationProblem {}

  /**
   * A database whose number of members has no majority or exceeds the supported size.
   *
   * @param path The dotted path of the faulty entry.
   * @param members The number of members.
   */
  record UnsupportedGroupSize(String path, int members) implements ConfigurationProblem {}

  /**
   * A pool without a database.
   *
   * @param path The dotted path of the faulty entry.
   */
  record EmptyPool(String path) implements ConfigurationProblem {}

  /**
   * A number that is outside its range.
   *
   * @param path The dotted path of the faulty entry.
   * @param value The number.
   * @param minimum The smallest allowed value.
   * @param maximum The largest allowed value.
   */
  record OutOfRange(String path, long value, long minimum, long maximum)
      implements ConfigurationProblem {}
}
