package org.hickoryshed.decision.workspace;

/**
 * What happens next to a session whose key was withdrawn or moved to another workspace.
 *
 * <p>A running statement ends as usual, so that its caller learns the outcome. An open transaction
 * may go on for a short time, since most end by themselves within it: to roll it back costs the
 * caller all its work, though what it has done was allowed. Later it is rolled back, which is
 * reported truly, as the caller has not asked for its commit yet. A transaction is never cut by the
 * end of the connection, which would leave its caller in doubt.
 */
public enum RevocationStep {
  /** The session goes on until its statement or transaction ends. */
  WAIT,
  /** The open transaction is rolled back; the response to the next statement says so. */
  ROLL_BACK,
  /** The session is closed with the reason. */
  CLOSE;

  /** How long an open transaction may go on, in milliseconds. */
  public static final long TRANSACTION_GRACE_MILLIS = 1000;

  /** When a session is closed whose caller does not end its failed transaction, in milliseconds. */
  public static final long CLOSE_MILLIS = 2 * TRANSACTION_GRACE_MILLIS;

  /**
   * Decides on the next step.
   *
   * @param statementRunning True if a statement has no response yet.
   * @param transactionOpen True if a transaction is open that has not failed.
   * @param transactionFailed True if a transaction has failed and the caller has not ended it yet.
   * @param elapsedMillis The time in milliseconds since the withdrawal came into force here.
   */
  public static RevocationStep of(
      boolean statementRunning,
      boolean transactionOpen,
      boolean transactionFailed,
      long elapsedMillis) {
    if (statementRunning) {
      return WAIT;
    }
    if (transactionFailed) {
      return elapsedMillis < CLOSE_MILLIS ? WAIT : CLOSE;
    }
    if (transactionOpen) {
      return elapsedMillis < TRANSACTION_GRACE_MILLIS ? WAIT : ROLL_BACK;
    }
    return CLOSE;
  }
}
