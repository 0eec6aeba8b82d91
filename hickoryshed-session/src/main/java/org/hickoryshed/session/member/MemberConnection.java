package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * A connection to a member that was lent to one session: one of this process, or one of another
 * proxy.
 *
 * <p>Statements may be sent behind each other; the member answers them in order.
 */
public interface MemberConnection {

  /**
   * Returns the pool of the member.
   *
   * @return The pool.
   */
  MemberPool pool();

  /**
   * Checks if this connection has ended.
   *
   * @return {@code true} if nothing can be sent any more.
   */
  boolean isClosed();

  /**
   * Brings the member's session to the state that a caller's session relies on.
   *
   * <p>Values that another session left behind are cleared, which is possible only outside a
   * transaction.
   *
   * @param session The caller's session.
   */
  void applySession(SessionState session);

  /**
   * Makes sure that the member knows a prepared statement.
   *
   * @param shape What is prepared.
   */
  void prepare(Statement.Shape shape);

  /**
   * Begins a transaction.
   *
   * @param readOnly True if the transaction only reads.
   * @param required The position that the member's log must hold, if any.
   * @param receiver The receiver of the answer.
   */
  void begin(boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver);

  /**
   * Passes a statement of a caller on.
   *
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param text The text of the statement.
   * @param receiver The receiver of the answer.
   */
  void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver);

  /**
   * Passes the execution of a prepared statement on, under the name that the member knows.
   *
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param shape What was prepared.
   * @param arguments The arguments as the caller wrote them.
   * @param receiver The receiver of the answer.
   */
  void execute(
      String id,
      Optional<LogPosition> required,
      Statement.Shape shape,
      String arguments,
      Consumer<MemberResponse> receiver);

  /**
   * Asks the member for its status.
   *
   * @param receiver The receiver of the answer.
   */
  void askStatus(Consumer<MemberResponse> receiver);

  /** Rolls the transaction back. */
  void rollback();

  /**
   * Notes that a statement on this connection was not answered in time.
   *
   * @param since The reading of the steady clock when the attempt began, in nanoseconds.
   */
  void noteTimeout(long since);

  /**
   * Gives this connection back; an open transaction is rolled back.
   *
   * <p>Outstanding answers are awaited and dropped before the connection is used again.
   */
  void release();

  /**
   * Closes this connection, which rolls an open transaction back.
   *
   * @param reason Why it is closed.
   */
  void abort(String reason);
}
