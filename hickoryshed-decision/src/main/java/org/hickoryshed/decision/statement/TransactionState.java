package org.hickoryshed.decision.statement;

/** The state of a session as its caller sees it. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** A transaction failed and waits for its end. */
  FAILED
}
