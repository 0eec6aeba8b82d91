package org.hickoryshed.session.member;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.statement.Statement;

/**
 * The state of a caller's session that its statements depend on: the values that it set and its
 * prepared statements.
 *
 * <p>A session may borrow a different connection for each statement or transaction, so this state
 * is kept by the proxy and applied to every connection that the session borrows.
 */
public final class SessionState {

  /** The maximum number of values, and of prepared statements, in one session. */
  private static final int MAX_ENTRIES = 512;

  /** What an entry takes up beside its characters, in bytes. */
  private static final int ENTRY_BYTES = 200;

  /** The largest size of all values and prepared statements of one session, in bytes. */
  public static final long MAX_BYTES = 2 * 1024 * 1024;

  private final Map<String, String> values = new LinkedHashMap<>();

  /** By the names that the caller chose. */
  private final Map<String, Statement.Shape> prepared = new LinkedHashMap<>();

  /** The size of {@link #values} and {@link #prepared}. */
  private long bytes;

  /**
   * Sets a value.
   *
   * @return {@code false} if the name is new and the session holds its maximum number of values.
   */
  public boolean set(String name, String value) {
    if (values.size() >= MAX_ENTRIES && !values.containsKey(name)) {
      return false;
    }
    bytes = bytesWithValue(name, value);
    values.put(name, value);
    return true;
  }

  /**
   * Remembers a prepared statement, in place of an earlier one of the same name.
   *
   * @param name The name that the caller chose.
   * @return {@code false} if the name is new and the session holds its maximum number of prepared
   *     statements.
   */
  public boolean prepare(String name, Statement.Shape shape) {
    if (prepared.size() >= MAX_ENTRIES && !prepared.containsKey(name)) {
      return false;
    }
    bytes = bytesWithPrepared(name, shape);
    prepared.put(name, shape);
    return true;
  }

  /**
   * Removes a prepared statement.
   *
   * @return {@code false} if there is none of that name.
   */
  public boolean deallocate(String name) {
    Statement.Shape removed = prepared.remove(name);
    bytes -= removed == null ? 0 : entryBytes(name, removed.text());
    return removed != null;
  }

  /** Returns the size of all values and prepared statements in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Returns what the size would be with a value in place of an earlier one of its name. */
  public long bytesWithValue(String name, String value) {
    String replaced = values.get(name);
    return bytes + entryBytes(name, value) - (replaced == null ? 0 : entryBytes(name, replaced));
  }

  /** Returns what the size would be with a statement in place of an earlier one of its name. */
  public long bytesWithPrepared(String name, Statement.Shape shape) {
    Statement.Shape replaced = prepared.get(name);
    return bytes
        + entryBytes(name, shape.text())
        - (replaced == null ? 0 : entryBytes(name, replaced.text()));
  }

  private static long entryBytes(String name, String text) {
    return ENTRY_BYTES + name.length() + text.length();
  }

  /** Returns what was prepared under a name of the caller, empty if there is nothing. */
  public Optional<Statement.Shape> shape(String name) {
    return Optional.ofNullable(prepared.get(name));
  }

  /**
   * Replaces all values.
   *
   * <p>Used for the session of another proxy that borrows a connection of this one.
   */
  public void replaceValues(Map<String, String> current) {
    values.forEach((name, value) -> bytes -= entryBytes(name, value));
    values.clear();
    values.putAll(current);
    values.forEach((name, value) -> bytes += entryBytes(name, value));
  }

  /** Returns the values by their names; not a copy. */
  public Map<String, String> values() {
    return values;
  }
}
