package org.hickoryshed.decision.pool;

/**
 * A unit of work for a database member: a statement, or the begin or end of a transaction.
 *
 * @param id The identifier, unique in its scheduler and increasing in the order of arrival.
 * @param label The route and statement; work with the same label shares one cost estimate.
 * @param kind The kind of the work.
 * @param transaction The identifier of the transaction, zero outside of a transaction.
 * @param priority The priority; a lower number runs first.
 * @param arrivedAt The time of arrival in milliseconds.
 * @param deadline The time in milliseconds after which the caller no longer waits for the response.
 */
public record Work(
    long id,
    String label,
    Kind kind,
    long transaction,
    int priority,
    long arrivedAt,
    long deadline) {

  /**
   * The kind of a unit of work. The order of the constants is the order of precedence under {@link
   * org.hickoryshed.decision.configuration.Pool.Scheduling#SHORT_FIRST}.
   */
  public enum Kind {

    /** Commits or rolls back a transaction, which frees its connection. */
    END,

    /** Runs a statement inside a transaction. */
    STEP,

    /** Begins a transaction, which binds a connection. */
    BEGIN,

    /** Runs a writing statement outside of a transaction. */
    WRITE,

    /** Runs a reading statement outside of a transaction. */
    READ
  }
}
