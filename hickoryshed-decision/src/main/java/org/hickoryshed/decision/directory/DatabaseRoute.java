package org.hickoryshed.decision.directory;

/**
 * A route: directs the sessions of a database to a pool and sets how they are served.
 *
 * @param database The name of the database that callers open.
 * @param pool The name of the pool.
 * @param freshness The consistency that reads require.
 * @param maximumAgeMillis The maximum age of the data that a read may see, in milliseconds.
 * @param statementTimeoutMillis The timeout of a single statement in milliseconds.
 * @param latencyTargetMillis The target latency of a whole operation in milliseconds.
 * @param priority The priority; zero is the highest.
 */
public record DatabaseRoute(
    String database,
    String pool,
    Freshness freshness,
    long maximumAgeMillis,
    long statementTimeoutMillis,
    long latencyTargetMillis,
    int priority) {

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
