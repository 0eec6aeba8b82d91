package org.hickoryshed.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.ConfigurationProblem;
import org.hickoryshed.decision.configuration.ConfigurationValidator;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * Reads the tables of routes and pools from a TOML file, fills in defaults and checks the tables as
 * a whole.
 */
final class TableReader {

  /** The default timeout of requests on a route. */
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

  /** The default cost from which a statement counts as long. */
  private static final Duration DEFAULT_LONG_WORK = Duration.ofMillis(50);

  /** The largest number, as zero is the highest priority. */
  private static final int LOWEST_PRIORITY = 9;

  private static final int DEFAULT_PRIORITY = 5;

  private final SettingsReader reader;

  private TableReader(SettingsReader reader) {
    this.reader = reader;
  }

  /**
   * Reads and checks both tables.
   *
   * @param reader The reader of the file.
   * @param editId The identifier that the configuration gets.
   * @return The configuration, with the revision that the file is based on, or all problems.
   */
  static Result<Configuration, List<SettingsProblem>> read(SettingsReader reader, String editId) {
    TableReader tables = new TableReader(reader);
    int revision = reader.integer("revision", 0, 0, Integer.MAX_VALUE);
    List<Pool> pools = tables.pools();
    List<Route> routes = tables.routes();
    Configuration configuration = new Configuration(revision, editId, routes, pools);
    ConfigurationValidator.validate(configuration).forEach(tables::report);
    List<SettingsProblem> problems = reader.problems();
    return problems.isEmpty() ? Result.success(configuration) : Result.failure(problems);
  }

  /** Reports a violated rule of the tables at the key that breaks it. */
  private void report(ConfigurationProblem problem) {
    switch (problem) {
      case ConfigurationProblem.MissingPool(String path, String pool) ->
          reader.reportProblem(path, pool, "the name of a pool");
      case ConfigurationProblem.DuplicateName(String path, String name) ->
          reader.reportProblem(path, name, "a unique name");
      case ConfigurationProblem.UnsupportedGroupSize(String path, int members) ->
          reader.reportProblem(path, members + " members", "1 to 9 members");
      case ConfigurationProblem.EmptyPool(String path) ->
          reader.reportProblem(path, "no database", "at least one database");
      case ConfigurationProblem.OutOfRange(String path, long value, long minimum, long maximum) ->
          reader.reportProblem(path, String.valueOf(value), "from " + minimum + " to " + maximum);
    }
  }

  private List<Pool> pools() {
    List<Pool> pools = new ArrayList<>();
    for (String name : reader.tableNames("pools")) {
      String key = "pools." + name + ".";
      pools.add(
          new Pool(
              name,
              databases(key + "databases"),
              reader.integer(key + "connections", 16, 1, 10_000),
              reader.integer(key + "slots", 2, 1, 1_000),
              reader.choice(key + "scheduling", Pool.Scheduling.class, Pool.Scheduling.SHORT_FIRST),
              millis(key + "long-work", DEFAULT_LONG_WORK)));
    }
    return pools;
  }

  private List<Database> databases(String parent) {
    List<Database> databases = new ArrayList<>();
    for (String name : reader.tableNames(parent)) {
      String membersKey = parent + "." + name + ".members";
      List<Member> members = new ArrayList<>();
      for (String member : reader.tableNames(membersKey)) {
        String key = membersKey + "." + member + ".";
        reader.address(key + "address");
        members.add(
            new Member(
                member,
                reader.text(key + "address"),
                reader.text(key + "domain"),
                reader.text(key + "region")));
      }
      databases.add(new Database(name, members));
    }
    return databases;
  }

  private List<Route> routes() {
    List<Route> routes = new ArrayList<>();
    for (String name : reader.tableNames("routes")) {
      String key = "routes." + name + ".";
      Optional<Integer> maxAge =
          reader.optionalDuration(key + "max-age").map(age -> (int) age.toMillis());
      routes.add(
          new Route(
              name,
              reader.text(key + "pool"),
              reader.choice(key + "access", Route.Access.class, Route.Access.WRITE),
              reader.choice(key + "reads", Route.Reads.class, Route.Reads.REPLICAS),
              maxAge,
              millis(key + "timeout", DEFAULT_TIMEOUT),
              reader.integer(key + "priority", DEFAULT_PRIORITY, 0, LOWEST_PRIORITY)));
    }
    return routes;
  }

  private int millis(String key, Duration fallback) {
    return (int) reader.duration(key, fallback).toMillis();
  }
}
