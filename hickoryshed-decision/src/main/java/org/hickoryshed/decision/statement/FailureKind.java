package org.hickoryshed.decision.statement;

/** The ways in which a statement or a session fails. */
public enum FailureKind {
  /** The receiver has too much work; the statement did not run. */
  OVERLOADED,
  /** The transaction was rolled back as a whole. */
  ROLLED_BACK,
  /** The log of the member lacks a required position; the statement did not run. */
  BEHIND,
  /** The member is not the primary; the statement did not run. */
  NOT_PRIMARY,
  /** The connection reached another member or service than the expected one. */
  WRONG_MEMBER,
  /** The member holds its highest number of connections. */
  CONNECTION_LIMIT,
  /** The statement ran and failed. */
  FAILED,
  /** The prepared statement does not exist; the statement did not run. */
  UNKNOWN_STATEMENT,
  /** The statement did not end in time; it may have run. */
  TIMED_OUT,
  /** The caller may not use the database. */
  NOT_AUTHORIZED,
  /** No route leads to the database. */
  UNKNOWN_DATABASE,
  /** The message is longer than a message may be. */
  TOO_LARGE,
  /** The message is malformed or does not fit the state of the session. */
  MALFORMED,
  /** A write was sent and its outcome is not known. */
  UNKNOWN_OUTCOME
}
