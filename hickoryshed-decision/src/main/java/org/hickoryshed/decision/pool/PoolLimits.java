package org.hickoryshed.decision.pool;

import org.hickoryshed.decision.configuration.Pool;

/**
 * The limits that a {@link MemberScheduler} enforces.
 *
 * @param connections The maximum number of connections to the member.
 * @param slots The maximum number of statements that run on the member concurrently.
 * @param scheduling The order in which queued work runs.
 * @param longWorkMillis The estimated cost in milliseconds from which work counts as long.
 * @param queue The maximum number of queued units of work.
 * @param transactionIdleMillis The time in milliseconds after which an idle transaction is rolled
 *     back.
 */
public record PoolLimits(
    int connections,
    int slots,
    Pool.Scheduling scheduling,
    int longWorkMillis,
    int queue,
    long transactionIdleMillis) {

  /** The maximum number of queued units of work for each member. */
  private static final int MAX_QUEUED = 2048;

  /** The time in milliseconds after which an idle transaction is rolled back. */
  private static final long TRANSACTION_IDLE_MILLIS = 10_000;

  /**
   * Derives the limits from a pool. The queue length and the idle time of transactions are fixed.
   *
   * @param pool The pool.
   * @return The limits for each member of the pool.
   */
  public static PoolLimits of(Pool pool) {
    return new PoolLimits(
        pool.connections(),
        pool.slots(),
        pool.scheduling(),
        pool.longWorkMillis(),
        MAX_QUEUED,
        TRANSACTION_IDLE_MILLIS);
  }
}
