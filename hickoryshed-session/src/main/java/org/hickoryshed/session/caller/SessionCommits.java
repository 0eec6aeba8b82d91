package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * What the reads of a session must see of its own commits.
 *
 * <p>A member acknowledges a commit before it tells its log position, so the position of an
 * acknowledged commit may never arrive. Until a later response of the primary covers the commit, no
 * replica can show that it holds it.
 */
final class SessionCommits {

  /** A position that covers the last commit, empty if there is none or it is not known. */
  private Optional<LogPosition> position = Optional.empty();

  private boolean positionMissing;

  /**
   * Records an acknowledged commit.
   *
   * @param covering A log position that covers the commit, empty if it did not arrive.
   */
  void recordCommit(Optional<LogPosition> covering) {
    position = covering;
    positionMissing = covering.isEmpty();
  }

  /**
   * Records a log position of the primary, which covers all commits that were acknowledged before
   * it was requested.
   */
  void recordPrimaryPosition(LogPosition covering) {
    if (positionMissing) {
      recordCommit(Optional.of(covering));
    }
  }

  /**
   * Checks if a commit was acknowledged whose position is not known, so only the primary has it.
   */
  boolean isPositionMissing() {
    return positionMissing;
  }

  /**
   * Returns the log position that covers all commits of the session.
   *
   * @return The position, empty if the session has committed nothing or it is missing.
   */
  Optional<LogPosition> position() {
    return position;
  }
}
