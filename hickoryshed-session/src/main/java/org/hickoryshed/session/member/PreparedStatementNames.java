package org.hickoryshed.session.member;

import java.util.HashMap;
import java.util.Map;
import org.hickoryshed.decision.statement.Statement;

/**
 * The names of prepared statements at members.
 *
 * <p>Callers choose the same names for different statements. At a member each shape therefore has
 * one name, so that all sessions share its preparation.
 */
public final class PreparedStatementNames {

  /** The number of shapes after which the names start anew. */
  private static final int LIMIT = 4096;

  /** The names by their shapes. */
  private final Map<Statement.Shape, String> names = new HashMap<>();

  /** The number of names that were ever given, so that no name is given twice. */
  private long given;

  /**
   * Returns the name of a shape.
   *
   * @param shape The shape.
   * @return The name of the prepared statement at every member.
   */
  String of(Statement.Shape shape) {
    if (names.size() >= LIMIT && !names.containsKey(shape)) {
      names.clear();
    }
    return names.computeIfAbsent(shape, key -> "p" + given++);
  }
}
