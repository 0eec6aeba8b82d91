package org.hickoryshed.decision.pool;

import org.hickoryshed.decision.configuration.Pool;

/**
 * The limits of a scheduler.
 *
 * @param connections The number of connections that the member accepts.
 * @param slots The number of statements that the member runs at once.
 * @param scheduling The order in which waiting work runs.
 * @param longWorkMillis The cost in milliseconds from which work counts as long.
 * @param queue The number of units of work that wait at most.
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

  /** The number of units of work that wait at most. */
  private static final int QUEUE = 2048;

  /** The time in milliseconds after which an idle transaction is rolled back. */
  private static final long TRANSACTION_IDLE = 10_000;

  /**
   * Derives the limits of a pool.
   *
   * @param pool The pool.
   * @return The limits of the scheduler of each member.
   */
  public static PoolLimits of(Pool pool) {
    return new PoolLimits(
        pool.connections(),
        pool.slots(),
        pool.scheduling(),
        pool.longWorkMillis(),
        QUEUE,
        TRANSACTION_IDLE);
  }
}
