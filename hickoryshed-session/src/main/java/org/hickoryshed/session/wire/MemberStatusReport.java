package org.hickoryshed.session.wire;

import org.hickoryshed.decision.topology.LogPosition;

/**
 * The status that a member reports of itself on request.
 *
 * @param primary {@code true} if the member considers itself the primary.
 * @param term The term that the member is in.
 * @param received The last log position that the member received.
 * @param pausedTerm The term that the member was {@link MemberCommand.Pause paused} for, zero if it
 *     receives commits.
 */
public record MemberStatusReport(
    boolean primary, long term, LogPosition received, long pausedTerm) {

  /** Checks if the member is a replica that receives nothing because it was paused. */
  public boolean isPaused() {
    return !primary && pausedTerm > term;
  }

  /**
   * Returns the end of the member's log in the term that it is in. The member may have entered that
   * term without an entry of it, which its received position does not tell.
   */
  public LogPosition end() {
    return new LogPosition(Math.max(term, received.term()), received.index());
  }
}
