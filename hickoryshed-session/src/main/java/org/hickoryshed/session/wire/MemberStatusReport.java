package org.hickoryshed.session.wire;

import org.hickoryshed.decision.topology.LogPosition;

/**
 * The status that a member reports of itself on request.
 *
 * @param primary {@code true} if the member considers itself the primary.
 * @param term The term that the member is in.
 * @param received The last log position that the member received.
 */
public record MemberStatusReport(boolean primary, long term, LogPosition received) {

  /**
   * Returns the end of the member's log in the term that it is in. The member may have entered that
   * term without an entry of it, which its received position does not tell.
   */
  public LogPosition end() {
    return new LogPosition(Math.max(term, received.term()), received.index());
  }
}
