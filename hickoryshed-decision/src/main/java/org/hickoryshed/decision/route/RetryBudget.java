package org.hickoryshed.decision.route;

/** A token bucket that limits retries to a small fraction of all requests. Thread-safe. */
public final class RetryBudget {

  /** The tokens that each first attempt adds: in the long run, one retry per five requests. */
  private static final double DEPOSIT = 0.2;

  /** The capacity of the bucket, which is also its initial content. */
  private static final double CAPACITY = 200;

  /** The available tokens; each retry takes one. */
  private double balance = CAPACITY;

  /** Adds a fraction of a retry to the budget. Must be called once for each first attempt. */
  public synchronized void onFirstTry() {
    balance = Math.min(CAPACITY, balance + DEPOSIT);
  }

  /**
   * Takes a retry out of the budget.
   *
   * @return {@code true} if a retry may be sent.
   */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
