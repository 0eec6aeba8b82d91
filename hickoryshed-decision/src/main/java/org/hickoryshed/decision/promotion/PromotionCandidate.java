package org.hickoryshed.decision.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * A member that can be promoted to primary.
 *
 * @param member The identifier of the member.
 * @param received The last log position that the member received.
 * @param notLeaving {@code true} if the member is not about to leave.
 * @param oneWayMillis The one-way network latency to the member in milliseconds.
 */
public record PromotionCandidate(
    String member, LogPosition received, boolean notLeaving, long oneWayMillis) {

  /** Prefers members that are not leaving, then the longest log, then the lowest latency. */
  private static final Comparator<PromotionCandidate> PREFERENCE =
      Comparator.comparing(PromotionCandidate::notLeaving)
          .thenComparingLong(candidate -> candidate.received.term())
          .thenComparingLong(candidate -> candidate.received.index())
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
}
