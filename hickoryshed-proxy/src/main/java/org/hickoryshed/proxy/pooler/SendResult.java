package org.hickoryshed.proxy.pooler;

import java.util.Optional;
import org.hickoryshed.client.member.MemberAnswer;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/**
 * What came back for a request.
 *
 * @param end How the work ended.
 * @param outcome The outcome, not yet confirmed.
 * @param answer The answer of the member.
 */
record SendResult(WorkOutcome end, Outcome outcome, Optional<MemberAnswer> answer) {

  /**
   * Creates what is returned for a request that was never sent.
   *
   * @param outcome The outcome.
   * @return What is returned.
   */
  static SendResult withoutResponse(Outcome outcome) {
    return new SendResult(WorkOutcome.REFUSED, outcome, Optional.empty());
  }

  /**
   * Returns the status that the member sent along.
   *
   * @return The status or an empty optional.
   */
  Optional<MemberStatus> status() {
    return answer.map(MemberAnswer::status);
  }

  /**
   * Checks if the idempotency key of the request is recorded as cancelled.
   *
   * @return {@code true} if the key is recorded as cancelled.
   */
  boolean isCancelled() {
    return answer.flatMap(MemberAnswer::refusal).filter(Reason.CANCELLED::equals).isPresent();
  }
}
