package org.hickoryshed.failover;

/**
 * Decides at which ticks of the probe interval a member is probed.
 *
 * <p>The first-ranked candidate probes the primary at every tick. The other candidates probe it
 * less often, because they act later anyway. Replicas are probed rarely, because their status
 * matters only while the primary is suspected; during a suspicion every member is probed at every
 * tick.
 *
 * <p>An instance belongs to one member and is used by the probe thread of that member only.
 */
final class ProbeSchedule {

  /** The number of ticks between two probes of the primary by candidates other than the first. */
  private static final int PRIMARY_TICKS = 3;

  /** The number of ticks between two probes of a replica. */
  private static final int REPLICA_TICKS = 10;

  private int ticksSinceProbe;

  /**
   * Counts a tick and returns whether to probe the member now.
   *
   * @param primary {@code true} if the member is the known primary.
   * @param first {@code true} if this process is the first-ranked candidate of the database.
   * @param suspecting {@code true} while the primary is suspected.
   * @return {@code true} if the member is to be probed now.
   */
  boolean isDue(boolean primary, boolean first, boolean suspecting) {
    ticksSinceProbe++;
    if (suspecting
        || (primary && first)
        || ticksSinceProbe >= (primary ? PRIMARY_TICKS : REPLICA_TICKS)) {
      ticksSinceProbe = 0;
      return true;
    }
    return false;
  }
}
