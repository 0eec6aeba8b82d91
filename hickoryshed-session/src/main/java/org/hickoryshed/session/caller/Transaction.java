package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.session.member.MemberConnection;

/**
 * An open transaction of a session.
 *
 * <p>Its first statement binds it to a connection to one member, on which it stays until it ends.
 */
final class Transaction {

  private final DatabaseRoute route;

  private final boolean readOnly;

  private final ClockReading arrival;

  /** Empty before the first statement and once the connection was given back. */
  private Optional<MemberConnection> connection = Optional.empty();

  private boolean provesPrimary;

  private boolean mayHaveWritten;

  /** True once the transaction counts towards the quota of its workspace. */
  private boolean counted;

  /**
   * Creates a transaction that is not yet bound to a connection.
   *
   * @param route The route in force; later changes do not affect the transaction.
   * @param readOnly {@code true} if the transaction only reads.
   * @param arrival When the caller's begin arrived; the age of data is measured from then.
   */
  Transaction(DatabaseRoute route, boolean readOnly, ClockReading arrival) {
    this.route = route;
    this.readOnly = readOnly;
    this.arrival = arrival;
  }

  /** Returns the route that was in force when the transaction was opened. */
  DatabaseRoute route() {
    return route;
  }

  /** Checks if the transaction only reads. */
  boolean readOnly() {
    return readOnly;
  }

  /** Returns when the caller's begin arrived; the age of data is measured from then. */
  ClockReading arrival() {
    return arrival;
  }

  /**
   * Returns the connection that the transaction is bound to.
   *
   * @return The connection, empty before the first statement and after {@link #release()}.
   */
  Optional<MemberConnection> connection() {
    return connection;
  }

  /**
   * Binds the transaction to a connection.
   *
   * @param bound The connection, on which a transaction was begun.
   * @param atPrimary {@code true} if the transaction was begun at the primary and may write there,
   *     so that the member refuses its statements once it is no longer the primary.
   */
  void bind(MemberConnection bound, boolean atPrimary) {
    connection = Optional.of(bound);
    provesPrimary = atPrimary;
  }

  /**
   * Checks if each success within the transaction proves that the member is the primary.
   *
   * @return {@code true} if the member refuses statements once it is no longer the primary.
   */
  boolean provesPrimary() {
    return provesPrimary;
  }

  /** Checks if a statement that may write was sent. */
  boolean mayHaveWritten() {
    return mayHaveWritten;
  }

  /** Records that a statement that may write is being sent. */
  void markMayHaveWritten() {
    mayHaveWritten = true;
  }

  /** Checks if the transaction counts towards the quota of its workspace. */
  boolean isCounted() {
    return counted;
  }

  /** Records that the transaction counts towards the quota of its workspace. */
  void markCounted() {
    counted = true;
  }

  /** Gives the connection back, which rolls the transaction back if it is still open there. */
  void release() {
    connection.ifPresent(MemberConnection::release);
    connection = Optional.empty();
  }
}
