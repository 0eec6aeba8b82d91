package org.hickoryshed.decision.statement;

/** A statement that a caller sends in a session. */
public sealed interface Statement {

  /**
   * Begins a transaction.
   *
   * @param readOnly {@code true} if the transaction only reads.
   */
  record Begin(boolean readOnly) implements Statement {}

  /** Commits the open transaction. */
  record Commit() implements Statement {}

  /** Rolls the open transaction back. */
  record Rollback() implements Statement {}

  /** Reads an item. */
  record Read() implements Statement {}

  /** Writes an item. */
  record Write() implements Statement {}

  /**
   * Sets a session variable.
   *
   * @param name The name of the variable.
   * @param value The value.
   */
  record SetValue(String name, String value) implements Statement {}

  /**
   * Prepares a statement under a name.
   *
   * @param name The name that the caller chose.
   * @param shape The statement to prepare.
   */
  record Prepare(String name, Shape shape) implements Statement {}

  /**
   * Executes a prepared statement.
   *
   * @param name The name under which the caller prepared the statement.
   * @param arguments The arguments, verbatim as the caller sent them.
   */
  record Execute(String name, String arguments) implements Statement {}

  /**
   * Deallocates a prepared statement.
   *
   * @param name The name under which the caller prepared the statement.
   */
  record Deallocate(String name) implements Statement {}

  /** A statement that is not supported or is incomplete. */
  record Unknown() implements Statement {}

  /**
   * The definition of a prepared statement, independent of the name that a caller gave it.
   *
   * @param access Whether the statement reads or writes.
   * @param text The text of the statement.
   */
  record Shape(Access access, String text) {}
}
