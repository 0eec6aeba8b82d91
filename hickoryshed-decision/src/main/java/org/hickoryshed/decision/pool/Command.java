package org.hickoryshed.decision.pool;

/** A command of the scheduler to its shell. */
public sealed interface Command {

  /**
   * Opens a connection.
   *
   * @param connection The identifier of the connection.
   */
  record Connect(long connection) implements Command {}

  /**
   * Runs work on a connection.
   *
   * @param work The work.
   * @param connection The identifier of the connection.
   */
  record Run(Work work, long connection) implements Command {}

  /**
   * Refuses work that has not run.
   *
   * @param work The work.
   * @param refusal The reason.
   */
  record Refuse(Work work, Refusal refusal) implements Command {}

  /**
   * Closes a connection, which rolls back what is open on it.
   *
   * @param connection The identifier of the connection.
   */
  record Close(long connection) implements Command {}
}
