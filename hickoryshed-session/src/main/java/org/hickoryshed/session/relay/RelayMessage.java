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

/** A message between a proxy and one that lends it connections to members. */
sealed interface RelayMessage {

  /** A message of the proxy that borrows. */
  sealed interface ToLender extends RelayMessage {}

  /** A message of the proxy that lends. */
  sealed interface ToBorrower extends RelayMessage {}

  /** A message about one loan of a connection. */
  sealed interface OfLoan extends RelayMessage {

    /**
     * Returns the number of the loan.
     *
     * @return The number, chosen by the proxy that borrows.
     */
    long loan();
  }

  /**
   * Asks for a connection.
   *
   * @param loan The number of the loan.
   * @param pool The name of the pool.
   * @param member The identifier of the member.
   * @param priority The priority, zero first.
   */
  record Borrow(long loan, String pool, String member, int priority) implements ToLender {}

  /**
   * States the values that the caller's session relies on.
   *
   * @param loan The number of the loan.
   * @param values All values.
   */
  record Values(long loan, Map<String, String> values) implements ToLender, OfLoan {}

  /**
   * Asks to prepare a statement at the member.
   *
   * @param loan The number of the loan.
   * @param shape What is prepared.
   */
  record Prepare(long loan, Statement.Shape shape) implements ToLender, OfLoan {}

  /**
   * Begins a transaction.
   *
   * @param loan The number of the loan.
   * @param readOnly True if the transaction only reads.
   * @param required The position that the member's log must hold, if any.
   */
  record Begin(long loan, boolean readOnly, Optional<LogPosition> required)
      implements ToLender, OfLoan {}

  /**
   * Passes a statement on.
   *
   * @param loan The number of the loan.
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param text The text.
   */
  record Forward(long loan, String id, Optional<LogPosition> required, String text)
      implements ToLender, OfLoan {}

  /**
   * Passes the execution of a prepared statement on.
   *
   * @param loan The number of the loan.
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param shape What was prepared.
   * @param arguments The arguments as the caller wrote them.
   */
  record Execute(
      long loan, String id, Optional<LogPosition> required, Statement.Shape shape, String arguments)
      implements ToLender, OfLoan {}

  /**
   * Asks for the status of the member.
   *
   * @param loan The number of the loan.
   */
  record AskStatus(long loan) implements ToLender, OfLoan {}

  /**
   * Rolls the transaction back.
   *
   * @param loan The number of the loan.
   */
  record Rollback(long loan) implements ToLender, OfLoan {}

  /**
   * Gives the connection back, or withdraws the request for one.
   *
   * @param loan The number of the loan.
   * @param timedOut True if a statement was not answered in time.
   */
  record Release(long loan, boolean timedOut) implements ToLender, OfLoan {}

  /**
   * Asks for the directory.
   *
   * @param question The versions that the asking proxy knows.
   */
  record AskDirectory(DirectoryRequest question) implements ToLender {}

  /**
   * Answers with the directory.
   *
   * @param news What the answering proxy knows beyond the versions of the question.
   */
  record Directory(DirectoryUpdate news) implements ToBorrower {}

  /**
   * Closes the connection.
   *
   * @param loan The number of the loan.
   * @param reason Why it is closed.
   */
  record Abort(long loan, String reason) implements ToLender, OfLoan {}

  /** Asks whether the lending proxy answers. */
  record Ping() implements ToLender {}

  /**
   * Lends a connection.
   *
   * @param loan The number of the loan.
   */
  record Lent(long loan) implements ToBorrower, OfLoan {}

  /**
   * Refuses a loan.
   *
   * @param loan The number of the loan.
   * @param reason Why there is no connection.
   */
  record Unavailable(long loan, String reason) implements ToBorrower, OfLoan {}

  /**
   * Passes on that a statement ran.
   *
   * @param loan The number of the loan.
   * @param rows The rows.
   * @param proof The member's proof of the answer, if it has one.
   * @param state The state of the transaction.
   * @param position The position of the member's log, if it was stated.
   */
  record Done(
      long loan,
      List<String> rows,
      Optional<String> proof,
      TransactionState state,
      Optional<LogPosition> position)
      implements ToBorrower, OfLoan {}

  /**
   * Passes on that a statement failed.
   *
   * @param loan The number of the loan.
   * @param kind How it failed.
   * @param text The text of the member.
   * @param state The state of the transaction.
   */
  record Failed(long loan, FailureKind kind, String text, TransactionState state)
      implements ToBorrower, OfLoan {}

  /**
   * Passes on that the answer to a statement is lost.
   *
   * @param loan The number of the loan.
   * @param reason What happened.
   */
  record Lost(long loan, String reason) implements ToBorrower, OfLoan {}

  /**
   * Ends a loan since the connection ended; outstanding answers were sent before.
   *
   * @param loan The number of the loan.
   * @param reason What happened.
   */
  record Ended(long loan, String reason) implements ToBorrower, OfLoan {}

  /** Answers the question whether the lending proxy answers. */
  record Pong() implements ToBorrower {}
}
