package org.hickoryshed.session.member;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.statement.Statement;

/** What the statements of a session rely on: its values and its prepared statements. */
public final class SessionState {

  /** The number of values and of prepared statements that one session may hold. */
  private static final int LIMIT = 512;

  /** The values by their names. */
  private final Map<String, String> values = new LinkedHashMap<>();

  /** The prepared statements by the names that the caller chose. */
  private final Map<String, Statement.Shape> prepared = new LinkedHashMap<>();

  /**
   * Sets a value.
   *
   * @param name The name of the value.
   * @param value The value.
   * @return {@code false} if the session holds too many values.
   */
  public boolean set(String name, String value) {
    if (values.size() >= LIMIT && !values.containsKey(name)) {
      return false;
    }
    values.put(name, value);
    return true;
  }

  /**
   * Prepares a statement.
   *
   * @param name The name that the caller chose.
   * @param shape What is prepared.
   * @return {@code false} if the session holds too many prepared statements.
   */
  public boolean prepare(String name, Statement.Shape shape) {
    if (prepared.size() >= LIMIT && !prepared.containsKey(name)) {
      return false;
    }
    prepared.put(name, shape);
    return true;
  }

  /**
   * Forgets a prepared statement.
   *
   * @param name The name that the caller chose.
   * @return {@code false} if there is none of that name.
   */
  public boolean deallocate(String name) {
    return prepared.remove(name) != null;
  }

  /**
   * Finds a prepared statement.
   *
   * @param name The name that the caller chose.
   * @return What was prepared, or an empty optional.
   */
  public Optional<Statement.Shape> shape(String name) {
    return Optional.ofNullable(prepared.get(name));
  }

  /**
   * Takes the values of a session that another proxy serves.
   *
   * @param present All values.
   */
  public void replaceValues(Map<String, String> present) {
    values.clear();
    values.putAll(present);
  }

  /**
   * Returns the values.
   *
   * @return The values by their names.
   */
  public Map<String, String> values() {
    return values;
  }
}
