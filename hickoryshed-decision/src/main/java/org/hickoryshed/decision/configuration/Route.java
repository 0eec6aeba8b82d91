package org.hickoryshed.decision.configuration;

import java.util.Optional;

/**
 * A route: which kind of request goes to which pool.
 *
 * @param name The name of the route.
 * @param pool The name of the pool.
 * @param access Whether requests read or write.
 * @param reads Which members serve reads.
 * @param maxAgeMillis The age in milliseconds that reads accept without asking for it.
 * @param timeoutMillis The time in milliseconds in which requests are answered.
 * @param priority The priority, the lowest number first.
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

    /** Requests change nothing and may be repeated. */
    READ,

    /** Requests may change data and are repeated only under an idempotency key. */
    WRITE
  }

  /** Which members serve reads. */
  public enum Reads {

    /** Replicas serve reads that they may lawfully answer, the primary serves the others. */
    REPLICAS,

    /** The primary serves all reads but those that accept an age. */
    PRIMARY
  }
}
