package org.hickoryshed.decision.commit;

import java.util.Collection;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/** The state of the confirmation of a position by a majority. */
public enum Confirmation {

  /** A majority holds the position, so that no later primary lacks it. */
  CONFIRMED,

  /** A majority left the term of the position before it was seen to hold it. */
  SUPERSEDED,

  /** Neither is known yet. */
  PENDING;

  /**
   * Judges a position.
   *
   * <p>A member counts only if the last entry of its log is of the term of the position. Then its
   * log is a prefix of the log of that term's primary, and the majority holds an entry of that
   * term. Statuses from any time are evidence, because a sealed member takes no further entries of
   * lower terms.
   *
   * @param position The position, with the term of the log that it was read from.
   * @param statuses The latest statuses of the members, at most one for each.
   * @param members The number of members of the database.
   * @return The state of the confirmation.
   */
  public static Confirmation of(
      LogPosition position, Collection<MemberStatus> statuses, int members) {
    int holding = 0;
    int passed = 0;
    for (MemberStatus status : statuses) {
      if (status.logTerm() == position.term() && status.held() >= position.index()) {
        holding++;
      }
      if (status.term() > position.term()) {
        passed++;
      }
    }
    if (holding >= Majority.of(members)) {
      return CONFIRMED;
    }
    return passed >= Majority.of(members) ? SUPERSEDED : PENDING;
  }
}
