package org.hickoryshed.decision.statement;

/** The ways in which a statement or a session fails. */
public enum FailureKind {
  /** The receiver is overloaded; the statement did not run. */
  OVERLOADED,
  /** The whole transaction was rolled back. */
  ROLLED_BACK,
  /** The log of the member does not hold a required position; the statement did not run. */
  BEHIND,
  /** The member is not the primary; the statement did not run. */
  NOT_PRIMARY,
  /** The connection reached another member or service than the expected one. */
  WRONG_MEMBER,
  /** The member has reached its maximum number of connections. */
  CONNECTION_LIMIT,
  /** The statement ran and failed. */
  FAILED,
  /** The prepared statement does not exist; the statement did not run. */
  UNKNOWN_STATEMENT,
  /** The statement did not finish before its timeout; it may have run. */
  TIMED_OUT,
  /** The caller is not authorized to use the database. */
  NOT_AUTHORIZED,
  /** No route leads to the database. */
  UNKNOWN_DATABASE,
  /** The message exceeds the maximum length. */
  TOO_LARGE,
  /** The message is malformed or not valid in the current state of the session. */
  MALFORMED,
  /** A write was sent and its outcome is unknown; it may have been committed. */
  UNKNOWN_OUTCOME
}
