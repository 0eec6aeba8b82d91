package org.hickoryshed.decision.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Validates the routes and pools of a configuration together. */
public final class ConfigurationValidator {

  /** The maximum number of members of a database. */
  private static final int MAX_MEMBERS = 9;

  /** The maximum number of connections to a member. */
  private static final int MAX_CONNECTIONS = 10_000;

  /** The maximum number of slots of a member. */
  private static final int MAX_SLOTS = 1_000;

  /** The maximum timeout of a route: one hour. */
  private static final int MAX_TIMEOUT_MILLIS = 3_600_000;

  private final List<ConfigurationProblem> problems = new ArrayList<>();

  /** The names of the databases of all pools visited so far. */
  private final Set<String> databases = new HashSet<>();

  /** The names of the members of all pools visited so far. */
  private final Set<String> members = new HashSet<>();

  /** Each instance validates one configuration. */
  private ConfigurationValidator() {}

  /**
   * Validates a configuration.
   *
   * @param configuration The configuration.
   * @return All problems, empty if the configuration is valid.
   */
  public static List<ConfigurationProblem> validate(Configuration configuration) {
    ConfigurationValidator validator = new ConfigurationValidator();
    Set<String> pools = new HashSet<>();
    for (Pool pool : configuration.pools()) {
      validator.checkUnique("pools." + pool.name(), pool.name(), pools);
      validator.checkPool(pool);
    }
    Set<String> routes = new HashSet<>();
    for (Route route : configuration.routes()) {
      validator.checkUnique("routes." + route.name(), route.name(), routes);
      validator.checkRoute(route, pools);
    }
    return List.copyOf(validator.problems);
  }

  private void checkRoute(Route route, Set<String> pools) {
    String path = "routes." + route.name();
    if (!pools.contains(route.pool())) {
      problems.add(new ConfigurationProblem.MissingPool(path + ".pool", route.pool()));
    }
    checkRange(path + ".timeout", route.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS);
  }

  private void checkPool(Pool pool) {
    String path = "pools." + pool.name();
    checkRange(path + ".connections", pool.connections(), 1, MAX_CONNECTIONS);
    checkRange(path + ".slots", pool.slots(), 1, MAX_SLOTS);
    if (pool.databases().isEmpty()) {
      problems.add(new ConfigurationProblem.EmptyPool(path));
    }
    for (Database database : pool.databases()) {
      String databasePath = path + ".databases." + database.name();
      checkUnique(databasePath, database.name(), databases);
      int size = database.members().size();
      if (size < 1 || size > MAX_MEMBERS) {
        problems.add(new ConfigurationProblem.UnsupportedGroupSize(databasePath, size));
      }
      for (Member member : database.members()) {
        checkUnique(databasePath + ".members." + member.name(), member.name(), members);
      }
    }
  }

  /** Adds a name to those seen so far and reports it if it was seen before. */
  private void checkUnique(String path, String name, Set<String> seen) {
    if (!seen.add(name)) {
      problems.add(new ConfigurationProblem.DuplicateName(path, name));
    }
  }

  private void checkRange(String path, long value, long minimum, long maximum) {
    if (value < minimum || value > maximum) {
      problems.add(new ConfigurationProblem.OutOfRange(path, value, minimum, maximum));
    }
  }
}
