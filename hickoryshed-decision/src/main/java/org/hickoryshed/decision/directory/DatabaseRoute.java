package org.hickoryshed.decision.directory;

/**
 * A route that leads the sessions of a database to a pool.
 *
 * @param database The name of the database that callers open.
 * @param pool The name of the pool.
 * @param freshness How fresh the data of a read must be.
 * @param maximumAgeMillis The age up to which a read may see data, in milliseconds.
 * @param statementTimeoutMillis The longest time of one statement in milliseconds.
 * @param latencyTargetMillis The time in which a whole operation is to end, in milliseconds.
 * @param priority The priority, zero is the highest.
 */
public record DatabaseRoute(
    String database,
    String pool,
    Freshness freshness,
    long maximumAgeMillis,
    long statementTimeoutMillis,
    long latencyTargetMillis,
    int priority) {

  /** How fresh the data of a read must be. */
  public enum Freshness {
    /** Reads see every acknowledged commit. */
    PRIMARY,
    /** Reads see every commit that was acknowledged before a stated age. */
    BOUNDED_AGE,
    /** Reads also see every commit of their own session. */
    READ_YOUR_WRITES
  }
}
