package org.hickoryshed.proxy.pooler;

/**
 * The numbers of a pooler for operators.
 *
 * @param member The name of the member.
 * @param waiting The number of units of work that wait.
 * @param running The number of units of work that run.
 * @param connections The number of connections.
 * @param transactions The number of open transactions.
 */
public record PoolerStatus(
    String member, int waiting, int running, int connections, int transactions) {

  /**
   * Checks if nothing is in progress.
   *
   * @return {@code true} if no work waits or runs and no transaction is open.
   */
  public boolean isIdle() {
    return waiting == 0 && running == 0 && transactions == 0;
  }
}
