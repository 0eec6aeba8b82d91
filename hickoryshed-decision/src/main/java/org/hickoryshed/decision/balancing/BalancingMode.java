package org.hickoryshed.decision.balancing;

/** How the member that serves a read is chosen. */
public enum BalancingMode {
  /**
   * Evenly where members accept too few connections for each proxy to hold its own, by distance
   * elsewhere.
   */
  AUTO,
  /** By shares of the load; see {@link ReaderSelector}. */
  EVEN,
  /** By distance and the response times that this proxy measured itself. */
  NEAREST;

  /**
   * Checks if the load is to be even.
   *
   * @param connectionsShared True if the proxies lend each other the connections to the members.
   */
  public boolean isEven(boolean connectionsShared) {
    return this == EVEN || (this == AUTO && connectionsShared);
  }
}
