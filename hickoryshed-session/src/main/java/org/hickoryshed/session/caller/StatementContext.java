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
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.wire.CallerMessage;

/**
 * A statement of a caller with its session, route and transaction.
 *
 * <p>It decides which members may run the statement, what a caller may be told when no response
 * arrives, and what a success proves about the database.
 *
 * @param session The session that sent the statement.
 * @param route The route in force when the statement arrived or its transaction was opened.
 * @param transaction The open transaction of the session, empty outside a transaction.
 * @param request The statement as the caller sent it.
 * @param access Whether the statement reads or may write.
 * @param arrival When the statement arrived.
 */
record StatementContext(
    CallerSession session,
    DatabaseRoute route,
    Optional<Transaction> transaction,
    CallerMessage.Request request,
    Access access,
    ClockReading arrival) {

  /**
   * A statement that can't reach the primary fails after this fraction (one in N) of the latency
   * target, so that its caller has the remaining time to try another proxy.
   */
  private static final int FAIL_FAST_DIVISOR = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Checks if a statement that can't be served here should fail now, while the caller has enough of
   * the latency target left to try another proxy.
   *
   * @param nowNanos The monotonic clock's reading in nanoseconds.
   * @return {@code true} once the statement has waited for a quarter of the latency target.
   */
  boolean shouldFailFast(long nowNanos) {
    long waitedMillis = (nowNanos - arrival.monotonicNanos()) / NANOS_PER_MILLI;
    return waitedMillis >= route.latencyTargetMillis() / FAIL_FAST_DIVISOR;
  }

  /** Checks if the statement commits the open transaction. */
  boolean isCommit() {
    return request.statement() instanceof Statement.Commit;
  }

  /** Checks if the statement is a read outside a transaction, which is safe to send again. */
  boolean isAutocommitRead() {
    return transaction.isEmpty() && access == Access.READ;
  }

  /**
   * Checks if a success of the statement makes writes durable.
   *
   * @return {@code true} if it is a write outside a transaction, or the commit of a transaction
   *     that may have written.
   */
  boolean makesWritesDurable() {
    return isCommit()
        ? transaction.map(Transaction::mayHaveWritten).orElse(false)
        : transaction.isEmpty() && access == Access.WRITE;
  }

  /**
   * Checks if the statement belongs to a transaction at a primary that is about to be replaced, or
   * that this process has no right to use.
   *
   * @param pool The connections to the member that the transaction is bound to.
   * @param database The database, empty if the route's pool never had a member.
   */
  boolean isAtSuspendedPrimary(MemberConnectionPool pool, Optional<Database> database) {
    return transaction.map(Transaction::provesPrimary).orElse(false)
        && database
            .map(known -> known.isSuspended(pool) || !known.rights().mayUse(pool.entry().id()))
            .orElse(false);
  }

  /**
   * Checks if what the statement made durable may be lost, because the member may have been
   * replaced as the primary before.
   *
   * @param member The member that responded.
   * @param database The database, empty if the route's pool never had a member.
   */
  boolean mayBeLost(Optional<MemberConnectionPool> member, Optional<Database> database) {
    return makesWritesDurable()
        && database.flatMap(known -> member.map(known::mayHaveBeenReplaced)).orElse(false);
  }

  /**
   * Returns the failure to report when no response of a member arrived.
   *
   * <p>The failure claims nothing that is uncertain: a statement that may have made writes durable
   * has an unknown outcome. Any other statement of a transaction is rolled back with it, as is a
   * transaction whose commit was never sent.
   *
   * @param mayHaveRun {@code true} if a member may have received the statement.
   * @return The kind of failure.
   */
  FailureKind failureWithoutResponse(boolean mayHaveRun) {
    if (mayHaveRun && makesWritesDurable()) {
      return FailureKind.UNKNOWN_OUTCOME;
    }
    if (transaction.isPresent()) {
      return FailureKind.ROLLED_BACK;
    }
    return mayHaveRun ? FailureKind.TIMED_OUT : FailureKind.OVERLOADED;
  }

  /**
   * Checks if a replica whose log is fresh enough may run the statement.
   *
   * @return {@code false} if only the primary may run it, also because it alone is known to hold a
   *     commit that the statement must see.
   */
  boolean mayRunOnReplica() {
    return transaction.map(Transaction::readOnly).orElse(access == Access.READ)
        && switch (route.freshness()) {
          case PRIMARY -> false;
          case BOUNDED_AGE -> true;
          case READ_YOUR_WRITES -> !session.commits().isPositionMissing(route.pool());
        };
  }

  /**
   * Returns the position that a member's log must hold to run the statement.
   *
   * @param database The database, which provides the recent floors.
   * @return The position, empty if only the primary may run the statement or no floor is recent
   *     enough.
   */
  Optional<LogPosition> requiredPosition(Database database) {
    if (!mayRunOnReplica()) {
      return Optional.empty();
    }
    ClockReading firstArrival = transaction.map(Transaction::arrival).orElse(arrival);
    Optional<LogPosition> lastCommit =
        route.freshness() == DatabaseRoute.Freshness.READ_YOUR_WRITES
            ? session.commits().position(route.pool())
            : Optional.empty();
    return database.floors().requiredPosition(firstArrival, route.maximumAgeMillis(), lastCommit);
  }

  /**
   * Records a successful response and its log position, which it lacks if the connection ended
   * behind the outcome.
   *
   * <p>If the response proves that the member is the primary, its position becomes a floor of the
   * database and the member is recorded as the primary. What the response made durable becomes a
   * commit of the session.
   *
   * @param done The response.
   * @param sentToPrimary {@code true} if the statement was sent to the member because it is the
   *     primary.
   * @param member The member that responded.
   * @param database The database, empty if the route's pool never had a member.
   */
  void recordSuccess(
      MemberResponse.Done done,
      boolean sentToPrimary,
      Optional<MemberConnectionPool> member,
      Optional<Database> database) {
    boolean onlyPrimary = !mayRunOnReplica();
    database.ifPresent(known -> known.readers().recordWork(done.sentAt(), onlyPrimary));
    boolean committed = makesWritesDurable();
    if (committed) {
      database.ifPresent(known -> known.onCommitAcknowledged(done.sentAt()));
      session.commits().recordCommit(route.pool(), done.position());
    }
    boolean provesPrimary =
        committed
            || (!isCommit() && transaction.map(Transaction::provesPrimary).orElse(sentToPrimary));
    if (provesPrimary && member.isPresent() && database.isPresent()) {
      done.position()
          .ifPresent(
              position -> recordPrimary(done.sentAt(), position, member.get(), database.get()));
    }
  }

  /** Records the position of a primary, unless it may have been replaced when it was asked. */
  private void recordPrimary(
      ClockReading sentAt, LogPosition position, MemberConnectionPool primary, Database database) {
    String id = primary.entry().id();
    if (database.rights().wasPrimaryAt(id, sentAt)) {
      session.commits().recordPrimaryPosition(route.pool(), position);
    }
    database.addFloor(primary, sentAt, position);
    database.recordPrimary(id, position.term(), "its response");
  }

  /**
   * Applies the session's values to a connection and prepares the statement there, if it executes a
   * prepared one.
   */
  void prepareConnection(MemberConnection connection) {
    connection.applySession(session.sessionState());
    preparedShape().ifPresent(connection::prepare);
  }

  /**
   * Sends the statement to a member. A prepared statement is executed under the name that it has at
   * the member, which differs from the caller's name.
   *
   * @param connection The connection to the member.
   * @param required The position that the member's log must hold, empty if any will do.
   * @param receiver Receives the response, on the event loop.
   */
  void send(
      MemberConnection connection,
      Optional<LogPosition> required,
      Consumer<MemberResponse> receiver) {
    connection.applySession(session.sessionState());
    Optional<Statement.Shape> shape = preparedShape();
    if (shape.isPresent() && request.statement() instanceof Statement.Execute execute) {
      connection.execute(request.id(), required, shape.get(), execute.arguments(), receiver);
    } else {
      connection.forward(request.id(), required, request.text(), receiver);
    }
  }

  /** Returns what the statement executes, empty if it executes no prepared statement. */
  private Optional<Statement.Shape> preparedShape() {
    return request.statement() instanceof Statement.Execute execute
        ? session.sessionState().shape(execute.name())
        : Optional.empty();
  }
}
