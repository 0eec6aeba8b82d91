package org.hickoryshed.decision.pool;

/** How work that was started ended. */
public enum WorkOutcome {

  /** The member answered completely. */
  ANSWERED,

  /** The member refused the work before running it. */
  REFUSED,

  /** No complete answer came: a statement may still be in flight. */
  LOST
}
