package org.hickoryshed.decision.pool;

/** A reason why work was refused before it ran. */
public sealed interface Refusal {

  /**
   * The work could not have finished before its deadline.
   *
   * @param retryAfterMillis The time in milliseconds after which a retry is promising.
   */
  record Overloaded(long retryAfterMillis) implements Refusal {}

  /** The deadline passed while the work was waiting. */
  record DeadlineExceeded() implements Refusal {}

  /** The transaction does not exist, has ended or was rolled back. */
  record NoTransaction() implements Refusal {}

  /** The member accepts no connection at all. */
  record NoConnection() implements Refusal {}
}
