package org.hickoryshed.proxy.pooler;

/**
 * The current load of one pooler, as shown to operators.
 *
 * @param member The name of the member.
 * @param waiting The number of requests that wait.
 * @param running The number of requests that run.
 * @param connections The number of connections that are open or being opened.
 * @param transactions The number of open transactions.
 */
public record PoolerStatus(
    String member, int waiting, int running, int connections, int transactions) {

  /**
   * Checks if nothing is in progress.
   *
   * @return {@code true} if no request waits or runs and no transaction is open.
   */
  public boolean isIdle() {
    return waiting == 0 && running == 0 && transactions == 0;
  }
}
