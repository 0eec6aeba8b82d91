package org.hickoryshed.control;

import java.util.Locale;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;

/** Writes the tables of routes and pools as the TOML that {@link TableReader} reads. */
final class TableWriter {

  private final StringBuilder text = new StringBuilder();

  private TableWriter() {}

  /**
   * Writes both tables.
   *
   * @param configuration The configuration.
   * @return The revision and the tables as TOML.
   */
  static String write(Configuration configuration) {
    return write(configuration, true, true);
  }

  /**
   * Writes one or both tables.
   *
   * @param configuration The configuration.
   * @param pools {@code true} to write the pools.
   * @param routes {@code true} to write the routes.
   * @return The revision and the chosen tables as TOML.
   */
  static String write(Configuration configuration, boolean pools, boolean routes) {
    TableWriter writer = new TableWriter();
    writer.number("revision", configuration.revision());
    if (pools) {
      configuration.pools().forEach(writer::pool);
    }
    if (routes) {
      configuration.routes().forEach(writer::route);
    }
    return writer.text.toString();
  }

  private void pool(Pool pool) {
    String key = "pools." + pool.name();
    header(key);
    number("connections", pool.connections());
    number("slots", pool.slots());
    string("scheduling", constantName(pool.scheduling()));
    string("long-work", pool.longWorkMillis() + " ms");
    for (Database database : pool.databases()) {
      for (Member member : database.members()) {
        header(key + ".databases." + database.name() + ".members." + member.name());
        string("address", member.address());
        string("domain", member.domain());
        string("region", member.region());
      }
    }
  }

  private void route(Route route) {
    header("routes." + route.name());
    string("pool", route.pool());
    string("access", constantName(route.access()));
    string("reads", constantName(route.reads()));
    route.maxAgeMillis().ifPresent(age -> string("max-age", age + " ms"));
    string("timeout", route.timeoutMillis() + " ms");
    number("priority", route.priority());
  }

  private void header(String key) {
    text.append("\n[").append(key).append("]\n");
  }

  private void number(String key, long value) {
    text.append(key).append(" = ").append(value).append('\n');
  }

  private void string(String key, String value) {
    text.append(key).append(" = \"").append(value).append("\"\n");
  }

  /**
   * Returns a constant as it stands in files.
   *
   * @param constant The constant.
   * @return The constant in lower case with hyphens.
   */
  private static String constantName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
