package org.hickoryshed.decision.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * A member that can be promoted to primary.
 *
 * @param member The identifier of the member.
 * @param received The last log position that the member has received, not necessarily applied.
 * @param notLeaving {@code true} if the member is not about to leave; one that leaves is chosen
 *     only if there is no other.
 * @param oneWayMillis The assumed one-way network latency in milliseconds from the proxy that
 *     chooses to the member.
 */
public record PromotionCandidate(
    String member, LogPosition received, boolean notLeaving, long oneWayMillis) {

  private static final Comparator<PromotionCandidate> LATEST_LOG =
      Comparator.<PromotionCandidate>comparingLong(candidate -> candidate.received.term())
          .thenComparingLong(candidate -> candidate.received.index());

  /**
   * Prefers members that are not leaving, then the latest received log position, then the lowest
   * latency. Positions are compared by term first and by index within a term, so a shorter log of a
   * later term is preferred to a longer one of an earlier term.
   */
  private static final Comparator<PromotionCandidate> PREFERENCE =
      Comparator.comparing(PromotionCandidate::notLeaving)
          .thenComparing(LATEST_LOG)
          .thenComparing(Comparator.comparingLong(PromotionCandidate::oneWayMillis).reversed());

  /**
   * Chooses the member to promote.
   *
   * @param candidates The candidates.
   * @return The preferred candidate, empty if there is none.
   */
  public static Optional<PromotionCandidate> choose(Collection<PromotionCandidate> candidates) {
    return candidates.stream().max(PREFERENCE);
  }

  /**
   * Chooses the member to promote where no commit that a candidate holds may be lost: only those
   * with the latest log are considered, even if all of them are leaving.
   *
   * @param candidates The candidates.
   * @return The preferred candidate, empty if there is none.
   */
  public static Optional<PromotionCandidate> chooseWithLatestLog(
      Collection<PromotionCandidate> candidates) {
    return candidates.stream().max(LATEST_LOG.thenComparing(PREFERENCE));
  }
}
