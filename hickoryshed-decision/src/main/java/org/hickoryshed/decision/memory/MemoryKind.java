package org.hickoryshed.decision.memory;

/** What memory is charged for. */
public enum MemoryKind {
  /** Received bytes and the statements that they become. */
  INPUT,
  /** Answers that were not sent yet. */
  OUTPUT,
  /** Rows of responses that were not passed on yet. */
  ROWS,
  /** Values and prepared statements of sessions. */
  SESSION_STATE
}
