package org.hickoryshed.decision.configuration;

/** A reason why a configuration is invalid. */
public sealed interface ConfigurationProblem {

  /**
   * Returns the path of the invalid entry.
   *
   * @return The dotted path, such as {@code pools.orders.slots}.
   */
  String path();

  /**
   * A route names a pool that does not exist.
   *
   * @param path The dotted path of the invalid entry.
   * @param pool The name of the missing pool.
   */
  record MissingPool(String path, String pool) implements ConfigurationProblem {}

  /**
   * A name is used more than once.
   *
   * @param path The dotted path of the invalid entry.
   * @param name The duplicate name.
   */
  record DuplicateName(String path, String name) implements ConfigurationProblem {}

  /**
   * A database has no members, and therefore no majority, or more than supported.
   *
   * @param path The dotted path of the invalid entry.
   * @param members The number of members.
   */
  record UnsupportedGroupSize(String path, int members) implements ConfigurationProblem {}

  /**
   * A pool has no database.
   *
   * @param path The dotted path of the invalid entry.
   */
  record EmptyPool(String path) implements ConfigurationProblem {}

  /**
   * A number is outside of its range.
   *
   * @param path The dotted path of the invalid entry.
   * @param value The number.
   * @param minimum The smallest valid number.
   * @param maximum The largest valid number.
   */
  record OutOfRange(String path, long value, long minimum, long maximum)
      implements ConfigurationProblem {}
}
