package org.hickoryshed.decision.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * A member that could lead next.
 *
 * @param member The identifier of the member.
 * @param received The last position that the member received.
 * @param stays True if the member does not leave.
 * @param distanceMillis The time to the member in milliseconds, one way.
 */
public record PromotionCandidate(
    String member, LogPosition received, boolean stays, long distanceMillis) {

  /** The order of preference: the member that lost least, then the nearer one. */
  private static final Comparator<PromotionCandidate> PREFERENCE =
      Comparator.comparing(PromotionCandidate::stays)
          .thenComparingLong(candidate -> candidate.received.term())
          .thenComparingLong(candidate -> candidate.received.index())
          .thenComparing(Comparator.comparingLong(PromotionCandidate::distanceMillis).reversed());

  /**
   * Chooses the member that leads next.
   *
   * @param candidates The members that answered.
   * @return The chosen member or an empty optional if none answered.
   */
  public static Optional<PromotionCandidate> choose(Collection<PromotionCandidate> candidates) {
    return candidates.stream().max(PREFERENCE);
  }
}
