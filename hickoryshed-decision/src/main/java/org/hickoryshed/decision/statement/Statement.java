package org.hickoryshed.decision.statement;

/** A statement of a session. */
public sealed interface Statement {

  /**
   * Opens a transaction.
   *
   * @param readOnly True if the transaction only reads.
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
   * Sets a value of the session.
   *
   * @param name The name of the value.
   * @param value The value.
   */
  record SetValue(String name, String value) implements Statement {}

  /**
   * Prepares a statement under a name.
   *
   * @param name The name that the caller chose.
   * @param shape What is prepared.
   */
  record Prepare(String name, Shape shape) implements Statement {}

  /**
   * Executes a prepared statement.
   *
   * @param name The name that the caller chose.
   * @param arguments The arguments as the caller wrote them.
   */
  record Execute(String name, String arguments) implements Statement {}

  /**
   * Forgets a prepared statement.
   *
   * @param name The name that the caller chose.
   */
  record Deallocate(String name) implements Statement {}

  /** A statement that is not known or lacks a part. */
  record Unknown() implements Statement {}

  /**
   * What a prepared statement does.
   *
   * @param access Whether the statement reads or writes.
   * @param text The text of the shape.
   */
  record Shape(Access access, String text) {}
}
