package org.hickoryshed.decision.sharing;

/**
 * The number of connections that a proxy may open to one member.
 *
 * <p>If the member accepts enough connections, each proxy opens its own. Otherwise one proxy of
 * each failure domain, the holder, opens them and relays the statements of the other proxies. Where
 * connections belong to workspaces, few holders near the member do so for the whole fleet.
 *
 * @param openedAhead The number of connections that are opened before a statement needs them.
 * @param keptIdle The number of connections that stay open while idle.
 * @param maxWhileRefused The maximum number of connections while the member refuses new ones: its
 *     fair share of the limit.
 * @param max The maximum number of connections otherwise.
 */
public record ConnectionShare(int openedAhead, int keptIdle, int maxWhileRefused, int max) {

  /** The number of connections per proxy below which holders are used. */
  private static final int MIN_CONNECTIONS_PER_PROXY = 2;

  /**
   * The number of equal shares that one proxy takes at most. More than one is allowed because
   * demand differs between proxies, and a member refuses excess connections before it runs
   * anything.
   */
  private static final int MAX_SHARES = 2;

  /**
   * The part of a member's connections, one in N, that holders for workspaces leave free: for
   * proxies without a holder, and since a closed connection still counts at the member for a while.
   */
  private static final int RESERVE_DIVISOR = 10;

  /** The maximum number of connections of a non-holder while its holder is unavailable. */
  private static final int MAX_WITHOUT_HOLDER = 2;

  /** Creates a share whose kept connections are opened ahead as well. */
  public ConnectionShare(int keptIdle, int maxWhileRefused, int max) {
    this(keptIdle, keptIdle, maxWhileRefused, max);
  }

  /**
   * Checks whether a member accepts too few connections for each proxy to open its own.
   *
   * @param limit The number of connections that the member accepts.
   * @param proxies The number of proxies.
   * @return {@code true} if one proxy of each failure domain holds the connections for the others.
   */
  public static boolean isHeldPerDomain(int limit, int proxies) {
    return limit < MIN_CONNECTIONS_PER_PROXY * proxies;
  }

  /**
   * Returns the share of a proxy if each proxy opens its own connections.
   *
   * @param limit The number of connections that the member accepts.
   * @param proxies The number of proxies.
   * @param keptIdle The number of idle connections that the proxy keeps open.
   * @return The share.
   */
  public static ConnectionShare perProxy(int limit, int proxies, int keptIdle) {
    return new ConnectionShare(
        keptIdle,
        Math.max(1, limit / Math.max(1, proxies)),
        Math.max(keptIdle + 1, MAX_SHARES * limit / Math.max(MAX_SHARES, proxies)));
  }

  /**
   * Returns the share of a holder, which opens the connections for its failure domain.
   *
   * @param limit The number of connections that the member accepts.
   * @param domains The number of failure domains.
   * @return The share.
   */
  public static ConnectionShare forHolder(int limit, int domains) {
    int equal = Math.max(1, limit / Math.max(1, domains));
    return new ConnectionShare(
        Math.max(1, equal / 2),
        equal,
        Math.max(2, MAX_SHARES * limit / Math.max(MAX_SHARES, domains)));
  }

  /**
   * Returns the share of a proxy that holds connections to a member for workspaces. All of them
   * stay open while idle, because a connection serves one workspace only and a new one costs the
   * member time; at the maximum, the one that was idle for longest makes room. One is opened ahead,
   * which shows that the member is there; for whom more are needed is not known before a statement
   * comes.
   *
   * @param limit The number of connections that the member accepts.
   * @param shards The number of shards of {@link WorkspaceHolders} that the proxy holds.
   * @return The share.
   */
  public static ConnectionShare forWorkspaceHolder(int limit, int shards) {
    int reserve = Math.max(MAX_WITHOUT_HOLDER, limit / RESERVE_DIVISOR);
    int max = Math.max(2, (limit - reserve) * shards / WorkspaceHolders.SHARDS);
    return new ConnectionShare(1, max, max, max);
  }

  /**
   * Returns the share of a proxy that uses the connections of a holder. It opens connections only
   * while the holder is unavailable.
   *
   * @return The share.
   */
  public static ConnectionShare forNonHolder() {
    return new ConnectionShare(0, 1, MAX_WITHOUT_HOLDER);
  }
}
