package org.hickoryshed.proxy.pooler;

import java.util.Optional;
import org.hickoryshed.client.member.MemberAnswer;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/**
 * The result of a request to a member.
 *
 * @param workOutcome Whether the member answered, refused the work or gave no complete answer;
 *     tells the scheduler whether the connection may be used again.
 * @param outcome The outcome for the caller, not yet confirmed by a majority of the members.
 * @param response The response of the member; empty if none came.
 */
record SendResult(WorkOutcome workOutcome, Outcome outcome, Optional<MemberAnswer> response) {

  /**
   * Creates the result of a request that the member never got or whose response did not come in
   * time.
   */
  static SendResult withoutResponse(Outcome outcome) {
    return new SendResult(WorkOutcome.REFUSED, outcome, Optional.empty());
  }

  /**
   * Returns the status of the member that came with its response.
   *
   * @return The status or an empty optional without a response.
   */
  Optional<MemberStatus> status() {
    return response.map(MemberAnswer::status);
  }

  /** Checks if the member has recorded the idempotency key of the request as cancelled. */
  boolean isCancelled() {
    return response.flatMap(MemberAnswer::refusal).filter(Reason.CANCELLED::equals).isPresent();
  }
}
