package org.hickoryshed.control;

import java.util.Locale;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;

/** Writes routes and pools as the TOML file that {@link TableReader} reads. */
final class TableWriter {

  /** The text that is written. */
  private final StringBuilder text = new StringBuilder();

  /** This class is instantiated for one text only. */
  private TableWriter() {}

  /**
   * Writes both tables.
   *
   * @param configuration The configuration.
   * @return The tables as TOML.
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
   * @return The tables as TOML.
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

  /**
   * Writes a pool.
   *
   * @param pool The pool.
   */
  private void pool(Pool pool) {
    String key = "pools." + pool.name();
    table(key);
    number("connections", pool.connections());
    number("slots", pool.slots());
    quoted("scheduling", constant(pool.scheduling()));
    quoted("long-work", pool.longWorkMillis() + " ms");
    for (Database database : pool.databases()) {
      for (Member member : database.members()) {
        table(key + ".databases." + database.name() + ".members." + member.name());
        quoted("address", member.address());
        quoted("domain", member.domain());
        quoted("region", member.region());
      }
    }
  }

  /**
   * Writes a route.
   *
   * @param route The route.
   */
  private void route(Route route) {
    table("routes." + route.name());
    quoted("pool", route.pool());
    quoted("access", constant(route.access()));
    quoted("reads", constant(route.reads()));
    route.maxAgeMillis().ifPresent(age -> quoted("max-age", age + " ms"));
    quoted("timeout", route.timeoutMillis() + " ms");
    number("priority", route.priority());
  }

  /**
   * Writes the header of a table.
   *
   * @param key The dotted key.
   */
  private void table(String key) {
    text.append("\n[").append(key).append("]\n");
  }

  /**
   * Writes a number.
   *
   * @param key The key.
   * @param value The number.
   */
  private void number(String key, long value) {
    text.append(key).append(" = ").append(value).append('\n');
  }

  /**
   * Writes a text.
   *
   * @param key The key.
   * @param value The text.
   */
  private void quoted(String key, String value) {
    text.append(key).append(" = \"").append(value).append("\"\n");
  }

  /**
   * Returns a constant as it stands in files.
   *
   * @param constant The constant.
   * @return The constant in lower case with hyphens.
   */
  private static String constant(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
