package org.hickoryshed.decision.statement;

/** The ways in which a statement or a session fails. */
public enum FailureKind {
  /** The receiver has too much work; the statement did not run. */
  OVERLOADED(true),
  /** The transaction was rolled back as a whole. */
  ROLLED_BACK(true),
  /** The log of the member lacks a required position; the statement did not run. */
  BEHIND(true),
  /** The member is not the primary; the statement did not run. */
  NOT_PRIMARY(true),
  /** The connection reached another member or service than the expected one. */
  WRONG_MEMBER(true),
  /** The member holds its highest number of connections. */
  CONNECTION_LIMIT(true),
  /** The statement ran and failed. */
  FAILED(false),
  /** The prepared statement does not exist; the statement did not run. */
  UNKNOWN_STATEMENT(false),
  /** The statement did not end in time; it may have run. */
  TIMED_OUT(false),
  /** The caller may not use the database. */
  NOT_AUTHORIZED(false),
  /** No route leads to the database. */
  UNKNOWN_DATABASE(false),
  /** The message is longer than a message may be. */
  TOO_LARGE(false),
  /** The message is malformed or does not fit the state of the session. */
  MALFORMED(false),
  /** A write was sent and its outcome is not known. */
  UNKNOWN_OUTCOME(false);

  /** True if this kind states that nothing of the caller's attempt is kept. */
  private final boolean nothingKept;

  /**
   * Creates a kind.
   *
   * @param nothingKept True if this kind states that nothing of the attempt is kept.
   */
  FailureKind(boolean nothingKept) {
    this.nothingKept = nothingKept;
  }

  /**
   * Checks if this kind states that nothing of the caller's attempt is kept.
   *
   * @return {@code true} if the caller may repeat its whole attempt.
   */
  public boolean nothingKept() {
    return nothingKept;
  }
}
