package org.hickoryshed.session.member;

import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;

/** The answer of a member to one statement. */
public sealed interface MemberResponse {

  /**
   * The statement ran.
   *
   * @param rows The rows.
   * @param proof The proof of the member, empty for a statement of this proxy.
   * @param state The state of the session at the member.
   * @param position The position of the member's log, if it stated one.
   * @param asked The moment at which the statement was sent.
   */
  record Done(
      List<String> rows,
      Optional<String> proof,
      TransactionState state,
      Optional<LogPosition> position,
      ClockReading asked)
      implements MemberResponse {}

  /**
   * The statement failed.
   *
   * @param kind How it failed.
   * @param text The text of the member.
   * @param state The state of the session at the member.
   */
  record Failed(FailureKind kind, String text, TransactionState state) implements MemberResponse {

    /**
     * Checks if the statement surely did not run.
     *
     * @return {@code true} if the member refused it before it ran.
     */
    public boolean isNotRun() {
      return switch (kind) {
        case OVERLOADED, BEHIND, NOT_PRIMARY, UNKNOWN_STATEMENT -> true;
        default -> false;
      };
    }
  }

  /**
   * The answer did not come or was cut off; the statement may have run.
   *
   * @param reason What happened to the connection.
   */
  record Lost(String reason) implements MemberResponse {}
}
