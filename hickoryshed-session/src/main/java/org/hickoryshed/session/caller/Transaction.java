package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.session.member.MemberConnection;

/** An open transaction of a caller. */
final class Transaction {

  /** The route that was in force when the transaction was opened. */
  private final DatabaseRoute route;

  /** True if the transaction only reads. */
  private final boolean readOnly;

  /** The moment at which the transaction arrived. */
  private final ClockReading firstByte;

  /** The connection that the transaction is bound to since its first statement. */
  private Optional<MemberConnection> connection = Optional.empty();

  /** True if every answer proves the lead of the member. */
  private boolean provesLead;

  /** True once a statement that may write was sent. */
  private boolean wrote;

  /**
   * Creates a new transaction.
   *
   * @param route The route in force.
   * @param readOnly True if the transaction only reads.
   * @param firstByte The moment at which the transaction arrived.
   */
  Transaction(DatabaseRoute route, boolean readOnly, ClockReading firstByte) {
    this.route = route;
    this.readOnly = readOnly;
    this.firstByte = firstByte;
  }

  /**
   * Returns the route that was in force when the transaction was opened.
   *
   * @return The route.
   */
  DatabaseRoute route() {
    return route;
  }

  /**
   * Checks if the transaction only reads.
   *
   * @return {@code true} if it only reads.
   */
  boolean readOnly() {
    return readOnly;
  }

  /**
   * Returns the moment at which the transaction arrived.
   *
   * @return The moment.
   */
  ClockReading firstByte() {
    return firstByte;
  }

  /**
   * Returns the connection that the transaction is bound to.
   *
   * @return The connection or an empty optional before the first statement.
   */
  Optional<MemberConnection> connection() {
    return connection;
  }

  /**
   * Binds the transaction to a connection.
   *
   * @param bound The connection.
   * @param atPrimary True if every answer proves the lead of the member.
   */
  void bind(MemberConnection bound, boolean atPrimary) {
    connection = Optional.of(bound);
    provesLead = atPrimary;
  }

  /**
   * Checks if every answer proves the lead of the member.
   *
   * @return {@code true} if the member refuses statements once it lost the lead.
   */
  boolean provesLead() {
    return provesLead;
  }

  /**
   * Checks if a statement that may write was sent.
   *
   * @return {@code true} if the transaction may have written.
   */
  boolean wrote() {
    return wrote;
  }

  /** Notes that a statement that may write is sent. */
  void noteWrite() {
    wrote = true;
  }

  /** Gives the connection back, which rolls the transaction back if it is still open. */
  void release() {
    connection.ifPresent(MemberConnection::release);
    connection = Optional.empty();
  }
}
