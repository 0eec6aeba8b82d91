package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.wire.MemberCommand;

/**
 * A connection to a member that is lent to one session; it belongs to this process or to another
 * proxy that relays statements.
 *
 * <p>Statements are pipelined: further ones may be sent before the response to the first arrives,
 * and the member responds in order. If the connection ends before a response is complete, its
 * receiver gets what is known, at least {@link MemberResponse.Lost}.
 */
public interface MemberConnection {

  /** Returns the pool of the member, also for a connection of another proxy. */
  MemberConnectionPool pool();

  /** Checks if this connection has ended, so that nothing can be sent any more. */
  boolean isClosed();

  /**
   * Sets the values of a caller's session at the member.
   *
   * <p>Values of an earlier session are cleared first, which is possible only outside a
   * transaction.
   */
  void applySession(SessionState session);

  /** Prepares a statement at the member unless it is prepared already. */
  void prepare(Statement.Shape shape);

  /**
   * Begins a transaction.
   *
   * @param required The position that the member's log must hold, if any; otherwise the statement
   *     fails as {@code BEHIND}.
   */
  void begin(boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver);

  /**
   * Forwards a statement of a caller.
   *
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param text The statement as the caller wrote it.
   */
  void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver);

  /**
   * Executes a prepared statement under the name that the member knows, after preparing it there if
   * necessary.
   *
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param arguments The arguments as the caller wrote them.
   */
  void execute(
      String id,
      Optional<LogPosition> required,
      Statement.Shape shape,
      String arguments,
      Consumer<MemberResponse> receiver);

  /** Sends a command to the member; the first row of the response is the member's status. */
  void command(MemberCommand command, Consumer<MemberResponse> receiver);

  /** Rolls back the open transaction, without waiting for the response. */
  void rollback();

  /**
   * Handles a statement on this connection that timed out.
   *
   * @param since When the attempt began, in nanoseconds of the monotonic clock.
   */
  void onStatementTimeout(long since);

  /**
   * Returns this connection to its pool; an open transaction is rolled back.
   *
   * <p>It is lent again only after all outstanding responses have arrived; whether their receivers
   * are still called is not defined. Does nothing if the connection was released before or has
   * ended.
   */
  void release();

  /**
   * Closes this connection, so that the member rolls back an open transaction.
   *
   * @param reason Why it is closed, for logs and for the receivers of outstanding responses.
   */
  void abort(String reason);
}
