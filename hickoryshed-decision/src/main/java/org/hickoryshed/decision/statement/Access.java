package org.hickoryshed.decision.statement;

/** What a statement does to the data of a database. */
public enum Access {
  /** The statement only reads. */
  READ,
  /** The statement may write. */
  WRITE
}
