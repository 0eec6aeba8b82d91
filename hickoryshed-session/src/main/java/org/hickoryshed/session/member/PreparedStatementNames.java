package org.hickoryshed.session.member;

import java.util.HashMap;
import java.util.Map;
import org.hickoryshed.decision.statement.Statement;

/**
 * Maps statement shapes to the names under which they are prepared at members.
 *
 * <p>Different callers use the same name for different statements. A proxy therefore chooses one
 * name for each shape, the same at every member, so that all sessions that use a connection share
 * its prepared statements.
 */
public final class PreparedStatementNames {

  /** With this many shapes the mapping is cleared before the next one. */
  private static final int LIMIT = 4096;

  private final Map<Statement.Shape, String> names = new HashMap<>();

  /** Never reset, so that no name is used for two shapes. */
  private long nextNumber;

  /** Returns the name under which a shape is prepared at every member. */
  String of(Statement.Shape shape) {
    if (names.size() >= LIMIT && !names.containsKey(shape)) {
      names.clear();
    }
    return names.computeIfAbsent(shape, key -> "p" + nextNumber++);
  }
}
