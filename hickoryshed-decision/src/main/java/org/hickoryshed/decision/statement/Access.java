package org.hickoryshed.decision.statement;

/** The access to data that a statement needs. */
public enum Access {
  /** The statement only reads. */
  READ,
  /** The statement may write. */
  WRITE
}
