package org.hickoryshed.decision.sharing;

/**
 * How many connections to one member a proxy may hold.
 *
 * @param kept The number of connections that stay open while idle.
 * @param fair The highest number of connections while the member refuses new ones.
 * @param most The highest number of connections.
 */
public record ConnectionShare(int kept, int fair, int most) {

  /** The number of connections that each proxy can have of its own where they are not pooled. */
  private static final int OWN_CONNECTIONS = 2;

  /**
   * The number of equal shares that one holder takes at most: demand differs, and a member refuses
   * what is too much before it ran anything.
   */
  private static final int SHARES = 2;

  /** The number of connections that a proxy opens when the holder can't be used. */
  private static final int WITHOUT_HOLDER = 2;

  /**
   * Checks if the connections of a member are too few for one set of them in each proxy.
   *
   * @param limit The number of connections that the member takes.
   * @param proxies The number of proxies.
   * @return {@code true} if one proxy of each failure domain holds them for the others.
   */
  public static boolean isHeldPerDomain(int limit, int proxies) {
    return limit < OWN_CONNECTIONS * proxies;
  }

  /**
   * Finds the share of a proxy where each one has connections of its own.
   *
   * @param limit The number of connections that the member takes.
   * @param proxies The number of proxies.
   * @param kept The number of connections that each proxy keeps if there is room.
   * @return The share.
   */
  public static ConnectionShare perProxy(int limit, int proxies, int kept) {
    return new ConnectionShare(
        kept,
        Math.max(1, limit / Math.max(1, proxies)),
        Math.max(kept + 1, SHARES * limit / Math.max(SHARES, proxies)));
  }

  /**
   * Finds the share of a proxy that holds connections for its failure domain.
   *
   * @param limit The number of connections that the member takes.
   * @param domains The number of failure domains.
   * @return The share.
   */
  public static ConnectionShare forHolder(int limit, int domains) {
    int equal = Math.max(1, limit / Math.max(1, domains));
    return new ConnectionShare(
        Math.max(1, equal / 2), equal, Math.max(2, SHARES * limit / Math.max(SHARES, domains)));
  }

  /**
   * Finds the share of a proxy whose connections another proxy holds.
   *
   * @return The share, for times when the holder can't be used.
   */
  public static ConnectionShare forNonHolder() {
    return new ConnectionShare(0, 1, WITHOUT_HOLDER);
  }
}
