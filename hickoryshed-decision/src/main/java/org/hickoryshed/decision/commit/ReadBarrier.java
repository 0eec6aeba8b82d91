package org.hickoryshed.decision.commit;

import java.util.Collection;
import java.util.Optional;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * Derives the log position that a member must have applied before it serves a read without a
 * session, so that the read sees all acknowledged writes. Raft calls such a position a read index.
 */
public final class ReadBarrier {

  private ReadBarrier() {}

  /**
   * Derives the barrier from one round of status requests.
   *
   * <p>All statuses must respond to requests that were sent after the read arrived. A majority must
   * still be in the term of the primary: otherwise a newer primary may have acknowledged writes
   * that the replaced one does not have.
   *
   * @param statuses The statuses of this round, at most one for each member.
   * @param members The number of members of the database.
   * @return The end of the primary's log, empty if the round does not prove that it still is the
   *     primary.
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
