package org.hickoryshed.decision.pool;

/**
 * A unit of work at a database member.
 *
 * @param id The identifier of the work, unique in its scheduler.
 * @param label The route and statement by which costs are learnt.
 * @param kind The kind of the work.
 * @param transaction The identifier of the transaction or zero.
 * @param priority The priority, the lowest number first.
 * @param arrivedAt The time of arrival in milliseconds.
 * @param deadline The time in milliseconds after which nobody waits for the answer.
 */
public record Work(
    long id,
    String label,
    Kind kind,
    long transaction,
    int priority,
    long arrivedAt,
    long deadline) {

  /** The kind of a unit of work, in the order in which kinds are served. */
  public enum Kind {

    /** The end of a transaction, which frees a connection. */
    END,

    /** A statement of a transaction. */
    STEP,

    /** The begin of a transaction, which binds a connection. */
    BEGIN,

    /** A statement that writes. */
    WRITE,

    /** A statement that reads. */
    READ
  }
}
