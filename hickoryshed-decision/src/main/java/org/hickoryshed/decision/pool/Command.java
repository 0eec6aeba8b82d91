package org.hickoryshed.decision.pool;

/** An instruction from the scheduler to its caller, which performs the I/O. */
public sealed interface Command {

  /**
   * Opens a connection. The caller reports the result with {@link MemberScheduler#onConnected} or
   * {@link MemberScheduler#onConnectFailed}.
   *
   * @param connection The identifier that the scheduler assigned to the connection.
   */
  record Connect(long connection) implements Command {}

  /**
   * Runs work on a connection. The caller reports the result with {@link
   * MemberScheduler#onFinished}.
   *
   * @param work The work to run.
   * @param connection The identifier of an open connection that runs nothing else.
   */
  record Run(Work work, long connection) implements Command {}

  /**
   * Answers work that did not run.
   *
   * @param work The refused work.
   * @param refusal The reason for the refusal.
   */
  record Refuse(Work work, Refusal refusal) implements Command {}

  /**
   * Closes a connection; the member then rolls back a transaction that is open on it.
   *
   * @param connection The identifier of the connection.
   */
  record Close(long connection) implements Command {}
}
