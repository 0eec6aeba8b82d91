package org.hickoryshed.decision.commit;

import java.util.Collection;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/** The state of a log position, which is confirmed once a majority of the members replicated it. */
public enum Confirmation {

  /** A majority holds the position, so every later primary holds it too. */
  CONFIRMED,

  /** A majority moved to a later term before it was seen to hold the position. */
  SUPERSEDED,

  /** Neither is known yet. */
  PENDING;

  /**
   * Evaluates a position.
   *
   * <p>A member counts only if it is in the term of the position and the last entry of its log is
   * of that term. Then it received its log from the primary of that term before it was sealed in a
   * later one, so that each later majority of seals includes a member that holds the position.
   *
   * <p>A member that received the same entries from the primary of a later term does not count: a
   * longer log of a term in between may still replace them.
   *
   * @param position The position, with the term of the log that it was read from.
   * @param statuses The latest statuses of the members, at most one for each. Outdated statuses are
   *     valid evidence too.
   * @param members The number of members of the database.
   * @return The state of the confirmation.
   */
  public static Confirmation of(
      LogPosition position, Collection<MemberStatus> statuses, int members) {
    int holding = 0;
    int passed = 0;
    for (MemberStatus status : statuses) {
      boolean inTerm = status.term() == position.term() && status.logTerm() == position.term();
      if (inTerm && status.held() >= position.index()) {
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
