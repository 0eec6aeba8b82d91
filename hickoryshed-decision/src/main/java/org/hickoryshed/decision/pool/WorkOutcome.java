package org.hickoryshed.decision.pool;

/** The result of work that was started, as far as it concerns the connection. */
public enum WorkOutcome {

  /** The member responded completely, possibly with an error. */
  ANSWERED,

  /** The member refused the work before running it; the connection can be reused. */
  REFUSED,

  /**
   * No complete response arrived: a statement may still be in flight, so the connection is closed.
   */
  LOST
}
