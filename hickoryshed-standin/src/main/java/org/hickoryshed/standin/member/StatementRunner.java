package org.hickoryshed.standin.member;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.statement.Statement;

/**
 * Interprets the statements that a stand-in supports: {@code put}, {@code append}, {@code get},
 * {@code rows} (generates rows) and {@code wait} (only takes time).
 */
final class StatementRunner {

  /** The largest number of rows that {@code rows} generates. */
  private static final int MAXIMUM_ROWS = 10_000;

  private StatementRunner() {}

  /** Returns the changes that a statement makes, empty if the statement is not supported. */
  static Optional<List<LogEntry.Change>> changes(Statement statement) {
    JsonNode arguments = statement.arguments();
    String object = arguments.path("object").asText();
    String value = arguments.path("value").asText();
    return switch (statement.name()) {
      case "put" -> Optional.of(List.of(new LogEntry.Change(object, value, false)));
      case "append" -> Optional.of(List.of(new LogEntry.Change(object, value, true)));
      case "get", "rows", "wait" -> Optional.of(List.of());
      default -> Optional.empty();
    };
  }

  /** Returns the rows that a statement reads from the applied objects. */
  static ArrayNode rows(Statement statement, AppliedObjects objects) {
    ArrayNode rows = Json.mapper().createArrayNode();
    JsonNode arguments = statement.arguments();
    switch (statement.name()) {
      case "get" ->
          objects
              .values(arguments.path("object").asText())
              .forEach(value -> rows.addObject().put("value", value));
      case "rows" -> {
        int count = Math.min(MAXIMUM_ROWS, arguments.path("count").asInt());
        for (int index = 0; index < count; index++) {
          rows.addObject().put("value", "row-" + index);
        }
      }
      default -> {
        // All other statements return no rows.
      }
    }
    return rows;
  }

  /**
   * Returns the simulated execution time of a statement.
   *
   * @param statement The statement, whose argument {@code cost} may ask for more than the minimum.
   * @param minimum The shortest time in milliseconds.
   * @return The time in milliseconds.
   */
  static long executionMillis(Statement statement, int minimum) {
    return Math.max(minimum, statement.arguments().path("cost").asInt());
  }
}
