package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.Connection;

/** Applies the statements that change the state of a session, within its limits and the memory. */
final class SessionStateChange {

  private SessionStateChange() {}

  /**
   * Applies a statement.
   *
   * @param statement The statement.
   * @param state The state to change.
   * @param connection The connection that the state is charged to.
   * @return Why the statement was refused, which leaves the state as it was; empty if it succeeded.
   */
  static Optional<Refusal> apply(Statement statement, SessionState state, Connection connection) {
    Optional<Refusal> refusal =
        switch (statement) {
          case Statement.SetValue set -> set(set, state, connection);
          case Statement.Prepare prepare -> prepare(prepare, state, connection);
          case Statement.Deallocate deallocate ->
              state.deallocate(deallocate.name())
                  ? Optional.empty()
                  : refuse(FailureKind.UNKNOWN_STATEMENT, deallocate.name());
          default -> throw new IllegalArgumentException("not a statement on the session");
        };
    connection.chargeSessionState(state.bytes());
    return refusal;
  }

  private static Optional<Refusal> set(
      Statement.SetValue set, SessionState state, Connection connection) {
    Optional<Refusal> refusal = charge(state.bytesWithValue(set.name(), set.value()), connection);
    return refusal.isPresent() || state.set(set.name(), set.value())
        ? refusal
        : refuse(FailureKind.TOO_LARGE, "the session holds too many values");
  }

  private static Optional<Refusal> prepare(
      Statement.Prepare prepare, SessionState state, Connection connection) {
    Optional<Refusal> refusal =
        charge(state.bytesWithPrepared(prepare.name(), prepare.shape()), connection);
    return refusal.isPresent() || state.prepare(prepare.name(), prepare.shape())
        ? refusal
        : refuse(FailureKind.TOO_LARGE, "too many prepared statements");
  }

  private static Optional<Refusal> charge(long size, Connection connection) {
    if (size > SessionState.MAX_BYTES) {
      return refuse(FailureKind.TOO_LARGE, "the session holds too much");
    }
    return connection.chargeSessionState(size)
        ? Optional.empty()
        : refuse(FailureKind.OVERLOADED, "no memory for the state of the session");
  }

  private static Optional<Refusal> refuse(FailureKind kind, String text) {
    return Optional.of(new Refusal(kind, text));
  }

  /**
   * A refused statement.
   *
   * @param kind How it failed.
   * @param text An explanation for people.
   */
  record Refusal(FailureKind kind, String text) {}
}
