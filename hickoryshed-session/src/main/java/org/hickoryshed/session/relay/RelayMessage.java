package org.hickoryshed.session.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.wire.MemberCommand;

/**
 * A message over the link between a borrowing and a lending proxy; see {@link RelayCodec} for its
 * encoding.
 *
 * <p>The lending proxy lends its connections to members, because the borrowing proxy does not reach
 * a member itself or because proxies outnumber the connections that a member accepts. A loan is one
 * such connection, from the request for it until its return.
 *
 * <p>{@link Lent} or {@link Unavailable} responds to {@link Borrow}. After that, each {@link
 * Begin}, {@link Forward}, {@link Execute} and {@link Command} has one response, {@link Done},
 * {@link Failed} or {@link Lost}; the responses of a loan come in the order of its requests. Once
 * the loan has ended, requests without a response get none. Different loans are independent.
 *
 * <p>{@link AskDirectory} and {@link Directory}, {@link Ping} and {@link Pong} concern the link
 * rather than a loan.
 */
sealed interface RelayMessage {

  /** A message of the borrowing proxy. */
  sealed interface ToLender extends RelayMessage {}

  /** A message of the lending proxy. */
  sealed interface ToBorrower extends RelayMessage {}

  /**
   * A message about a loan that was requested before. The lending proxy ignores messages about
   * loans that have ended.
   */
  sealed interface LoanMessage extends RelayMessage {

    /**
     * Returns the number of the loan.
     *
     * @return The number, chosen by the borrowing proxy and unique within the link.
     */
    long loan();
  }

  /**
   * Requests a connection to a member.
   *
   * <p>Not a {@link LoanMessage}: it creates the loan, so the lending proxy can't pass it to a loan
   * by its number.
   *
   * @param loan The number of the new loan.
   * @param pool The name of the pool.
   * @param member The identifier of the member.
   * @param priority The priority of the statement; zero is the highest of callers, and a negative
   *     one marks a request of the borrowing proxy itself.
   * @param mayDecline True if another member can serve the statement, so that the lending proxy may
   *     decline while this one is busy.
   * @param workspace The workspace of the statement, empty if it belongs to none.
   */
  record Borrow(
      long loan,
      String pool,
      String member,
      int priority,
      boolean mayDecline,
      Optional<String> workspace)
      implements ToLender {}

  /**
   * Replaces the values that the caller's session has set; they apply to the requests that follow.
   *
   * @param loan The number of the loan.
   * @param values All values by their names.
   */
  record SessionValues(long loan, Map<String, String> values) implements ToLender, LoanMessage {}

  /**
   * Prepares a statement at the member; there is no response.
   *
   * @param loan The number of the loan.
   * @param shape The statement to prepare.
   */
  record Prepare(long loan, Statement.Shape shape) implements ToLender, LoanMessage {}

  /**
   * Begins a transaction.
   *
   * @param loan The number of the loan.
   * @param readOnly True if the transaction only reads.
   * @param required The log position that the member must hold, if any.
   */
  record Begin(long loan, boolean readOnly, Optional<LogPosition> required)
      implements ToLender, LoanMessage {}

  /**
   * Relays a statement as the caller wrote it.
   *
   * @param loan The number of the loan.
   * @param id The identifier that the caller gave to the statement.
   * @param required The log position that the member must hold, if any.
   * @param text The text of the statement.
   */
  record Forward(long loan, String id, Optional<LogPosition> required, String text)
      implements ToLender, LoanMessage {}

  /**
   * Relays the execution of a prepared statement.
   *
   * @param loan The number of the loan.
   * @param id The identifier that the caller gave to the statement.
   * @param required The log position that the member must hold, if any.
   * @param shape The statement that was prepared.
   * @param arguments The arguments as the caller wrote them.
   */
  record Execute(
      long loan, String id, Optional<LogPosition> required, Statement.Shape shape, String arguments)
      implements ToLender, LoanMessage {}

  /**
   * Sends a command to the member.
   *
   * @param loan The number of the loan.
   * @param command The command.
   */
  record Command(long loan, MemberCommand command) implements ToLender, LoanMessage {}

  /**
   * Rolls the transaction back; there is no response.
   *
   * @param loan The number of the loan.
   */
  record Rollback(long loan) implements ToLender, LoanMessage {}

  /**
   * Returns the connection to the lending proxy's pool, or withdraws the request for one. Unlike
   * after {@link Abort}, the connection can be lent again once all outstanding responses have
   * arrived; an open transaction is rolled back.
   *
   * @param loan The number of the loan.
   * @param timedOut True if a statement got no response in time, which the lending proxy reports to
   *     its pool of the member.
   */
  record Release(long loan, boolean timedOut) implements ToLender, LoanMessage {}

  /**
   * Requests the directory of the lending proxy; concerns the link rather than a loan.
   *
   * @param request The versions that the borrowing proxy knows.
   */
  record AskDirectory(DirectoryRequest request) implements ToLender {}

  /**
   * The response to {@link AskDirectory}.
   *
   * @param update What the lending proxy knows beyond the versions of the request.
   */
  record Directory(DirectoryUpdate update) implements ToBorrower {}

  /**
   * Closes the connection of a loan, or withdraws the request for one. The member rolls back an
   * open transaction; the connection is not lent again, unlike after {@link Release}.
   *
   * @param loan The number of the loan.
   * @param reason Why it is closed.
   */
  record Abort(long loan, String reason) implements ToLender, LoanMessage {}

  /** Checks that the lending proxy is alive; {@link Pong} is the response. */
  record Ping() implements ToLender {}

  /**
   * Grants a loan.
   *
   * @param loan The number of the loan.
   * @param inFlight The number of statements that the lending proxy has in flight at the member.
   * @param responseMicros The recent response time of the member in microseconds, zero if unknown.
   */
  record Lent(long loan, int inFlight, long responseMicros) implements ToBorrower, LoanMessage {}

  /**
   * Refuses a loan.
   *
   * @param loan The number of the loan.
   * @param reason Why there is no connection.
   * @param declined True if there is a connection, but the statement is better served elsewhere.
   */
  record Unavailable(long loan, String reason, boolean declined)
      implements ToBorrower, LoanMessage {}

  /**
   * Relays the success of a request.
   *
   * @param loan The number of the loan.
   * @param rows The rows.
   * @param proof The proof that the member attached to its response, if any.
   * @param state The state of the transaction.
   * @param position The log position that the member stated, if any.
   */
  record Done(
      long loan,
      List<String> rows,
      Optional<String> proof,
      TransactionState state,
      Optional<LogPosition> position)
      implements ToBorrower, LoanMessage {}

  /**
   * Relays the failure of a request.
   *
   * @param loan The number of the loan.
   * @param kind The kind of failure.
   * @param text The error text of the member.
   * @param state The state of the transaction.
   */
  record Failed(long loan, FailureKind kind, String text, TransactionState state)
      implements ToBorrower, LoanMessage {}

  /**
   * Tells that the response to a request is lost.
   *
   * @param loan The number of the loan.
   * @param reason What happened.
   */
  record Lost(long loan, String reason) implements ToBorrower, LoanMessage {}

  /**
   * Ends a loan because its connection ended. Responses that were pending have been sent before.
   *
   * @param loan The number of the loan.
   * @param reason Why the connection ended.
   */
  record Ended(long loan, String reason) implements ToBorrower, LoanMessage {}

  /** The response to {@link Ping}. */
  record Pong() implements ToBorrower {}
}
