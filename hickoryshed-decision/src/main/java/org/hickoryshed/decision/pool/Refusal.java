package org.hickoryshed.decision.pool;

/** A reason why the scheduler refused work. Refused work never ran. */
public sealed interface Refusal {

  /**
   * Admission control rejected the work on arrival: the queue is full, or the work is not expected
   * to finish before its deadline.
   *
   * @param retryAfterMillis The estimated wait in milliseconds, after which a retry may succeed.
   */
  record Overloaded(long retryAfterMillis) implements Refusal {}

  /** The deadline passed while the work was queued. */
  record DeadlineExceeded() implements Refusal {}

  /** The transaction does not exist, has ended or was rolled back. */
  record NoTransaction() implements Refusal {}

  /** No connection to the member is open, and the last attempt to open one failed. */
  record NoConnection() implements Refusal {}
}
