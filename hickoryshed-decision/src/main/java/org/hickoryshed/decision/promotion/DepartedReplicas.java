package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.Map;
import org.hickoryshed.decision.directory.MemberEntry;

/**
 * Tracks the replicas that left a database without announcing it, as after a crash, or restarted.
 *
 * <p>A restarted replica may have lost its log, so its earlier incarnation counts as gone. Such a
 * replica may have been the only one that holds a commit which the primary acknowledged before. It
 * no longer matters once the primary has acknowledged a commit that was sent later: the replicas
 * that confirmed that one hold all earlier commits too.
 *
 * <p>Not thread-safe.
 */
public final class DepartedReplicas {

  private final Map<Incarnation, Long> departureNanos = new HashMap<>();

  /**
   * Records that a replica left.
   *
   * @param replica The last entry of the replica.
   * @param nowNanos The monotonic clock reading in nanoseconds.
   */
  public void recordDeparture(MemberEntry replica, long nowNanos) {
    departureNanos.put(Incarnation.of(replica), nowNanos);
  }

  /**
   * Records that a replica is registered. It counts as back only if it did not restart meanwhile.
   *
   * @param replica The entry of the replica.
   */
  public void recordReturn(MemberEntry replica) {
    departureNanos.remove(Incarnation.of(replica));
  }

  /**
   * Records that the primary acknowledged a commit.
   *
   * @param sentNanos When the commit was sent, as a monotonic clock reading in nanoseconds.
   */
  public void recordCommit(long sentNanos) {
    departureNanos.values().removeIf(departure -> sentNanos - departure > 0);
  }

  /** Records that a member was promoted, whose log is the valid one from then on. */
  public void recordPromotion() {
    departureNanos.clear();
  }

  /**
   * Returns the number of replicas that may alone hold acknowledged commits.
   *
   * @return The number of replicas.
   */
  public int count() {
    return departureNanos.size();
  }

  /** One run of the process of a replica. */
  private record Incarnation(String id, long bornMillis) {

    private static Incarnation of(MemberEntry entry) {
      return new Incarnation(entry.id(), entry.bornMillis());
    }
  }
}
