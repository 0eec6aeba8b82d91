package org.hickoryshed.decision.directory;

/**
 * A route: directs the sessions of a database to a pool and sets how they are served.
 *
 * <p>In this package, a database is a name that callers open, and a pool is one group of members
 * that replicate one log. {@link org.hickoryshed.decision.configuration.Route} belongs to the
 * tables of this project's own HTTP interface, where a route has a name of its own and a pool
 * consists of one or more databases.
 *
 * @param database The name of the database that callers open.
 * @param pool The name of the pool.
 * @param freshness The consistency that reads require.
 * @param maximumAgeMillis The maximum age of the data that a read may see, in milliseconds; not
 *     used with {@link Freshness#PRIMARY}.
 * @param statementTimeoutMillis The timeout of a single statement in milliseconds.
 * @param latencyTargetMillis The target latency of a whole operation in milliseconds. In a process
 *     that is cut off from the primary and most proxies, a statement without a usable member fails
 *     once it has waited for a quarter of the target, so that the caller has time to try another
 *     proxy.
 * @param priority The priority with which statements wait for a connection to a member; zero is the
 *     highest, and a negative one counts as zero.
 * @param isPublic {@code true} if callers need no key of a workspace.
 */
public record DatabaseRoute(
    String database,
    String pool,
    Freshness freshness,
    long maximumAgeMillis,
    long statementTimeoutMillis,
    long latencyTargetMillis,
    int priority,
    boolean isPublic) {

  /** Keeps negative priorities free for the requests of the proxies themselves. */
  public DatabaseRoute {
    priority = Math.max(0, priority);
  }

  /** Creates a route that is not public. */
  public DatabaseRoute(
      String database,
      String pool,
      Freshness freshness,
      long maximumAgeMillis,
      long statementTimeoutMillis,
      long latencyTargetMillis,
      int priority) {
    this(
        database,
        pool,
        freshness,
        maximumAgeMillis,
        statementTimeoutMillis,
        latencyTargetMillis,
        priority,
        false);
  }

  /** Returns this route as a public one. */
  public DatabaseRoute asPublic() {
    return new DatabaseRoute(
        database,
        pool,
        freshness,
        maximumAgeMillis,
        statementTimeoutMillis,
        latencyTargetMillis,
        priority,
        true);
  }

  /** The consistency that reads require. */
  public enum Freshness {
    /** Reads see every acknowledged commit. */
    PRIMARY,
    /** Bounded staleness: reads see every commit that is older than the maximum age. */
    BOUNDED_AGE,
    /** Bounded staleness; in addition, reads see every commit of their own session. */
    READ_YOUR_WRITES
  }
}
