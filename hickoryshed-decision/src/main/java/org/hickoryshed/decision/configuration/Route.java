package org.hickoryshed.decision.configuration;

import java.util.Optional;

/**
 * A route: sends one kind of request to a pool and sets its defaults.
 *
 * <p>It belongs to the tables of this project's own HTTP interface, where a pool is a set of
 * databases. The route of a database that callers open is {@link
 * org.hickoryshed.decision.directory.DatabaseRoute}.
 *
 * @param name The name of the route.
 * @param pool The name of the pool.
 * @param access Whether requests read or write.
 * @param reads Which members serve reads.
 * @param maxAgeMillis The maximum age of the data in milliseconds that reads accept by default,
 *     empty if they accept none.
 * @param timeoutMillis The time in milliseconds within which requests must be completed.
 * @param priority The priority of queued work of the same kind under {@link
 *     Pool.Scheduling#SHORT_FIRST}; a lower number runs first.
 */
public record Route(
    String name,
    String pool,
    Access access,
    Reads reads,
    Optional<Integer> maxAgeMillis,
    int timeoutMillis,
    int priority) {

  /** Whether requests read or write. */
  public enum Access {

    /** Requests change nothing and may be retried. */
    READ,

    /** Requests may change data and are retried only under an idempotency key. */
    WRITE
  }

  /** Which members serve reads. */
  public enum Reads {

    /** Replicas serve the reads whose consistency they satisfy, the primary serves the others. */
    REPLICAS,

    /** The primary serves all reads except those that accept stale data. */
    PRIMARY
  }
}
