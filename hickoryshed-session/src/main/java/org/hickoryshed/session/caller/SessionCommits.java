package org.hickoryshed.session.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * What the reads of a session must see of its own commits, for each pool that it wrote to: a route
 * may move to another pool and back while the session is open, and each pool has a log of its own.
 *
 * <p>A member acknowledges a commit before it tells its log position, so the position of an
 * acknowledged commit may never arrive. Until a later response of the primary covers the commit, no
 * replica can show that it holds it.
 */
final class SessionCommits {

  /**
   * A position that covers the last commit in a pool, by the name of the pool; empty if it is not
   * known. Pools without a commit have no entry.
   */
  private final Map<String, Optional<LogPosition>> positions = new HashMap<>(2);

  /**
   * Records an acknowledged commit.
   *
   * @param pool The name of the pool that holds it.
   * @param covering A log position that covers the commit, empty if it did not arrive.
   */
  void recordCommit(String pool, Optional<LogPosition> covering) {
    positions.put(pool, covering);
  }

  /**
   * Records a log position of a pool's primary, which covers all commits that were acknowledged
   * before it was requested.
   */
  void recordPrimaryPosition(String pool, LogPosition covering) {
    if (isPositionMissing(pool)) {
      recordCommit(pool, Optional.of(covering));
    }
  }

  /**
   * Checks if a commit was acknowledged whose position is not known, so only the primary has it.
   *
   * @param pool The name of the pool.
   */
  boolean isPositionMissing(String pool) {
    return positions.containsKey(pool) && positions.get(pool).isEmpty();
  }

  /**
   * Returns the log position that covers all commits of the session in a pool.
   *
   * @param pool The name of the pool.
   * @return The position, empty if the session has committed nothing there or it is missing.
   */
  Optional<LogPosition> position(String pool) {
    return positions.getOrDefault(pool, Optional.empty());
  }
}
