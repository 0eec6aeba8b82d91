package org.hickoryshed.decision.statement;

/** Whether a statement only reads or may write. */
public enum Access {
  /** The statement only reads. */
  READ,
  /** The statement may write. */
  WRITE
}
