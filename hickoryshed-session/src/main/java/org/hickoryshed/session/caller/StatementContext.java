package org.hickoryshed.session.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.wire.CallerMessage;

/**
 * A statement of a caller and what it belongs to.
 *
 * @param session The session.
 * @param route The route.
 * @param transaction The transaction that the statement belongs to, if any.
 * @param request The request of the caller.
 * @param access Whether the statement reads or writes.
 * @param arrived The moment at which the statement arrived.
 */
record StatementContext(
    CallerSession session,
    DatabaseRoute route,
    Optional<Transaction> transaction,
    CallerMessage.Request request,
    Access access,
    ClockReading arrived) {

  /** The part of the latency target after which a statement is refused that can't be served. */
  private static final int REFUSAL_PART = 4;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /**
   * Checks if a refusal now leaves the caller enough of the latency target to try elsewhere.
   *
   * @param now The reading of the steady clock in nanoseconds.
   * @return {@code true} once the statement has waited for a part of the latency target.
   */
  boolean isOverdue(long now) {
    long waited = (now - arrived.steadyNanos()) / NANOS_IN_MILLI;
    return waited >= route.latencyTargetMillis() / REFUSAL_PART;
  }

  /**
   * Checks if the statement commits a transaction.
   *
   * @return {@code true} if it is a commit.
   */
  boolean commits() {
    return request.statement() instanceof Statement.Commit;
  }

  /**
   * Checks if the statement is a single read, which may be repeated.
   *
   * @return {@code true} if it reads outside of a transaction.
   */
  boolean isSingleRead() {
    return transaction.isEmpty() && access == Access.READ;
  }

  /**
   * Checks if a success of the statement makes writes last.
   *
   * @return {@code true} if it is a single write or commits a transaction that may have written.
   */
  boolean makesWritesLast() {
    return commits()
        ? transaction.map(Transaction::wrote).orElse(false)
        : transaction.isEmpty() && access == Access.WRITE;
  }

  /**
   * Finds what a caller is told when the answer to the statement is missing.
   *
   * <p>A transaction whose commit was not sent is rolled back for sure.
   *
   * @param mayHaveRun True if the statement was sent to a member.
   * @return The kind of failure, which promises nothing that is not sure.
   */
  FailureKind whenAnswerIsMissing(boolean mayHaveRun) {
    if (mayHaveRun && makesWritesLast()) {
      return FailureKind.UNKNOWN_OUTCOME;
    }
    if (transaction.isPresent()) {
      return FailureKind.ROLLED_BACK;
    }
    return mayHaveRun ? FailureKind.TIMED_OUT : FailureKind.OVERLOADED;
  }

  /**
   * Checks if any member with a fresh enough log may answer.
   *
   * @return {@code false} if only the primary may answer.
   */
  boolean mayRunAnywhere() {
    return transaction.map(Transaction::readOnly).orElse(access == Access.READ)
        && route.freshness() != DatabaseRoute.Freshness.PRIMARY;
  }

  /**
   * Finds the position that the log of any member must hold to answer the statement.
   *
   * @param database The database.
   * @return The position, or an empty optional if only the primary may answer.
   */
  Optional<LogPosition> requiredPosition(Database database) {
    if (!mayRunAnywhere()) {
      return Optional.empty();
    }
    ClockReading firstByte = transaction.map(Transaction::firstByte).orElse(arrived);
    Optional<LogPosition> own =
        route.freshness() == DatabaseRoute.Freshness.READ_YOUR_WRITES
            ? session.ownCommit()
            : Optional.empty();
    return database.floors().requiredPosition(firstByte, route.maximumAgeMillis(), own);
  }

  /**
   * Keeps what a success tells of the log: a floor if it proves the lead of the member, and the
   * last commit of the session.
   *
   * @param done The answer.
   * @param asPrimary True if the statement was sent to the member as the primary.
   * @param member The member.
   * @param database The database, if its pool still has members.
   */
  void noteSuccess(
      MemberResponse.Done done,
      boolean asPrimary,
      Optional<MemberPool> member,
      Optional<Database> database) {
    if (done.position().isEmpty()) {
      return;
    }
    LogPosition position = done.position().get();
    boolean committed = makesWritesLast();
    boolean provesLead =
        committed || (!commits() && transaction.map(Transaction::provesLead).orElse(asPrimary));
    if (provesLead) {
      database.ifPresent(known -> known.addFloor(done.asked(), position));
      member.ifPresent(
          leader ->
              database.ifPresent(
                  known -> known.notePrimary(leader.entry().id(), position.term(), "its answer")));
    }
    if (committed) {
      session.noteCommit(position);
    }
  }

  /**
   * Brings a member's session to the state that the statement relies on.
   *
   * @param connection The connection to the member.
   */
  void prepare(MemberConnection connection) {
    connection.applySession(session.state());
    preparedShape().ifPresent(connection::prepare);
  }

  /**
   * Sends the statement to a member; a prepared statement is renamed on the way.
   *
   * @param connection The connection to the member.
   * @param required The position that the member's log must hold, if any.
   * @param receiver The receiver of the answer.
   */
  void send(
      MemberConnection connection,
      Optional<LogPosition> required,
      Consumer<MemberResponse> receiver) {
    connection.applySession(session.state());
    Optional<Statement.Shape> shape = preparedShape();
    if (shape.isPresent() && request.statement() instanceof Statement.Execute execute) {
      connection.execute(request.id(), required, shape.get(), execute.arguments(), receiver);
    } else {
      connection.forward(request.id(), required, request.text(), receiver);
    }
  }

  /**
   * Finds what was prepared, if the statement executes it.
   *
   * @return The shape or an empty optional if the statement is not an execution.
   */
  private Optional<Statement.Shape> preparedShape() {
    return request.statement() instanceof Statement.Execute execute
        ? session.state().shape(execute.name())
        : Optional.empty();
  }
}
