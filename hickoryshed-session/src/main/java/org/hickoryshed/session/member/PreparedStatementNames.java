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

  /** With more characters of shapes than this the mapping is cleared before the next one. */
  private static final long MAX_CHARACTERS = 2 * 1024 * 1024;

  private final Map<Statement.Shape, String> names = new HashMap<>();

  /** The characters of all shapes in {@link #names}. */
  private long characters;

  /** Never reset, so that no name is used for two shapes. */
  private long nextNumber;

  /** Returns the name under which a shape is prepared at every member. */
  String of(Statement.Shape shape) {
    if (!names.containsKey(shape)) {
      if (names.size() >= LIMIT || characters > MAX_CHARACTERS) {
        names.clear();
        characters = 0;
      }
      characters += shape.text().length();
    }
    return names.computeIfAbsent(shape, key -> "p" + nextNumber++);
  }
}
