package org.hickoryshed.failover;

/**
 * The times at which one member is probed, counted in ticks of the probe interval.
 *
 * <p>The first candidate asks the primary at each tick. Other candidates and replicas can wait,
 * because a candidate of a higher rank acts later, and replicas matter during a suspicion only.
 */
final class ProbeSchedule {

  /** The number of ticks between two probes of the primary by other candidates. */
  private static final int OTHER_CANDIDATE = 3;

  /** The number of ticks between two probes of a replica. */
  private static final int REPLICA = 10;

  /** The number of ticks since the latest probe. */
  private int ticks;

  /**
   * Counts a tick and tells whether the member is to be probed.
   *
   * @param primary {@code true} if the member is the known primary.
   * @param first {@code true} if this process is the first candidate of the database.
   * @param suspecting {@code true} while the primary is suspected.
   * @return {@code true} if the member is to be probed now.
   */
  boolean isDue(boolean primary, boolean first, boolean suspecting) {
    ticks++;
    if (suspecting || (primary && first) || ticks >= (primary ? OTHER_CANDIDATE : REPLICA)) {
      ticks = 0;
      return true;
    }
    return false;
  }
}
