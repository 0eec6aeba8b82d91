package org.hickoryshed.decision.commit;

import java.util.Collection;
import java.util.Optional;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/** The position that a read without a session must reach to see all acknowledged writes. */
public final class ReadBarrier {

  /** This class is not instantiated. */
  private ReadBarrier() {}

  /**
   * Derives the barrier from one round of questions.
   *
   * <p>All statuses must be answers to questions that were asked after the read arrived. A majority
   * must still be in the term of the primary. Otherwise a newer primary may have acknowledged
   * writes that the replaced one does not know.
   *
   * @param statuses The statuses of this round, at most one for each member.
   * @param members The number of members of the database.
   * @return The position to reach or an empty optional if the round proves nothing.
   */
  public static Optional<LogPosition> of(Collection<MemberStatus> statuses, int members) {
    Optional<MemberStatus> primary = DatabaseView.EMPTY.with(statuses).primary();
    if (primary.isEmpty()) {
      return Optional.empty();
    }
    long term = primary.get().term();
    long agreeing = statuses.stream().filter(status -> status.term() == term).count();
    return agreeing >= Majority.of(members)
        ? Optional.of(primary.get().heldPosition())
        : Optional.empty();
  }
}
