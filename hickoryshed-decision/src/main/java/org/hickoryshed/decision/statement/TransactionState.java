package org.hickoryshed.decision.statement;

/** The state of the transaction of a session as its caller sees it. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** A transaction failed; the caller must end it before it can continue. */
  FAILED
}
