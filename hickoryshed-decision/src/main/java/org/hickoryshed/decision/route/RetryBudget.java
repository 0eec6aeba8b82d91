package org.hickoryshed.decision.route;

/** A budget that keeps retries a small share of all requests. It is safe for use by threads. */
public final class RetryBudget {

  /** The share of a retry that each first try pays for. */
  private static final double DEPOSIT = 0.2;

  /** The largest balance in retries. */
  private static final double MAXIMUM = 200;

  /** The balance in retries. */
  private double balance = MAXIMUM;

  /** Pays for a share of a retry. */
  public synchronized void onFirstTry() {
    balance = Math.min(MAXIMUM, balance + DEPOSIT);
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
