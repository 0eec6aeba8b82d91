package org.hickoryshed.session.member;

import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;

/** A member's response to one statement, or the reason why it was lost. */
public sealed interface MemberResponse {

  /**
   * The statement ran.
   *
   * @param rows The result rows in their order, empty if there are none.
   * @param proof The member's proof that it ran the statement, passed on to the caller; empty for a
   *     statement that this proxy generated.
   * @param state The transaction state of the member's session after the statement.
   * @param position The member's log position after the statement, empty if it sent none or the
   *     connection ended before.
   * @param sentAt When the statement was sent.
   */
  record Done(
      List<String> rows,
      Optional<String> proof,
      TransactionState state,
      Optional<LogPosition> position,
      ClockReading sentAt)
      implements MemberResponse {}

  /**
   * The statement failed.
   *
   * @param text The member's error message.
   * @param state The transaction state of the member's session after the failure.
   */
  record Failed(FailureKind kind, String text, TransactionState state) implements MemberResponse {

    /**
     * Checks if the statement certainly did not run, so that it may be sent to another member.
     *
     * @return {@code true} if the member rejected the statement before it ran.
     */
    public boolean isNotRun() {
      return switch (kind) {
        case OVERLOADED, BEHIND, NOT_PRIMARY, UNKNOWN_STATEMENT -> true;
        default -> false;
      };
    }
  }

  /**
   * The connection ended before the outcome arrived; the statement may have run.
   *
   * @param reason Why the connection ended.
   */
  record Lost(String reason) implements MemberResponse {}
}
