package org.hickoryshed.decision.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The check of both tables together. */
public final class ConfigurationValidator {

  /** The largest number of members of a database. */
  private static final int MAXIMUM_MEMBERS = 9;

  /** The largest number of connections to a member. */
  private static final int MAXIMUM_CONNECTIONS = 10_000;

  /** The largest number of slots of a member. */
  private static final int MAXIMUM_SLOTS = 1_000;

  /** The longest time-out in milliseconds. */
  private static final int MAXIMUM_TIMEOUT = 3_600_000;

  /** The problems that were found. */
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  /** The names of databases that were seen. */
  private final Set<String> databases = new HashSet<>();

  /** The names of members that were seen. */
  private final Set<String> members = new HashSet<>();

  /** This class is instantiated for one check only. */
  private ConfigurationValidator() {}

  /**
   * Checks a configuration.
   *
   * @param configuration The configuration.
   * @return All problems, empty if the configuration is right.
   */
  public static List<ConfigurationProblem> validate(Configuration configuration) {
    ConfigurationValidator check = new ConfigurationValidator();
    Set<String> pools = new HashSet<>();
    for (Pool pool : configuration.pools()) {
      check.unique("pools." + pool.name(), pool.name(), pools);
      check.pool(pool);
    }
    Set<String> routes = new HashSet<>();
    for (Route route : configuration.routes()) {
      check.unique("routes." + route.name(), route.name(), routes);
      check.route(route, pools);
    }
    return List.copyOf(check.problems);
  }

  /**
   * Checks a route.
   *
   * @param route The route.
   * @param pools The names of all pools.
   */
  private void route(Route route, Set<String> pools) {
    String path = "routes." + route.name();
    if (!pools.contains(route.pool())) {
      problems.add(new ConfigurationProblem.MissingPool(path + ".pool", route.pool()));
    }
    range(path + ".timeout", route.timeoutMillis(), 1, MAXIMUM_TIMEOUT);
  }

  /**
   * Checks a pool.
   *
   * @param pool The pool.
   */
  private void pool(Pool pool) {
    String path = "pools." + pool.name();
    range(path + ".connections", pool.connections(), 1, MAXIMUM_CONNECTIONS);
    range(path + ".slots", pool.slots(), 1, MAXIMUM_SLOTS);
    if (pool.databases().isEmpty()) {
      problems.add(new ConfigurationProblem.EmptyPool(path));
    }
    for (Database database : pool.databases()) {
      String databasePath = path + ".databases." + database.name();
      unique(databasePath, database.name(), databases);
      int size = database.members().size();
      if (size < 1 || size > MAXIMUM_MEMBERS) {
        problems.add(new ConfigurationProblem.UnsupportedGroupSize(databasePath, size));
      }
      for (Member member : database.members()) {
        unique(databasePath + ".members." + member.name(), member.name(), members);
      }
    }
  }

  /**
   * Checks that a name is unique.
   *
   * @param path The dotted path of the entry.
   * @param name The name.
   * @param seen The names that were seen.
   */
  private void unique(String path, String name, Set<String> seen) {
    if (!seen.add(name)) {
      problems.add(new ConfigurationProblem.DuplicateName(path, name));
    }
  }

  /**
   * Checks that a number is in its range.
   *
   * @param path The dotted path of the entry.
   * @param value The number.
   * @param minimum The smallest allowed value.
   * @param maximum The largest allowed value.
   */
  private void range(String path, long value, long minimum, long maximum) {
    if (value < minimum || value > maximum) {
      problems.add(new ConfigurationProblem.OutOfRange(path, value, minimum, maximum));
    }
  }
}
