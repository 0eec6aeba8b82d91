package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.Map;
import org.hickoryshed.decision.directory.MemberEntry;

/**
 * Tracks the replicas that left a database, as planned or after a crash, or restarted.
 *
 * <p>A restarted replica may have lost its log, so its earlier incarnation counts as gone. Such a
 * replica may have been the only one that holds a commit which the primary acknowledged before. It
 * no longer matters once the primary has acknowledged a commit that was sent later: the replicas
 * that confirmed that one hold all earlier commits too. One that announced its end no longer
 * matters either once its successor is registered, the member at its address, which has its log.
 *
 * <p>Not thread-safe.
 */
public final class DepartedReplicas {

  private final Map<Incarnation, Departure> departures = new HashMap<>();

  /**
   * Records that a replica left.
   *
   * @param replica The last entry of the replica.
   * @param nowNanos The monotonic clock reading in nanoseconds.
   */
  public void recordDeparture(MemberEntry replica, long nowNanos) {
    departures.put(Incarnation.of(replica), new Departure(replica, nowNanos));
  }

  /**
   * Records that a replica is registered. It counts as back only if it did not restart meanwhile,
   * and stands for a replica that announced its end if it is the successor.
   *
   * @param replica The entry of the replica.
   */
  public void recordRegistration(MemberEntry replica) {
    departures.remove(Incarnation.of(replica));
    departures.values().removeIf(departure -> replica.isSuccessorOf(departure.replica));
  }

  /**
   * Records that the primary acknowledged a commit.
   *
   * @param sentNanos When the commit was sent, as a monotonic clock reading in nanoseconds.
   */
  public void recordCommit(long sentNanos) {
    departures.values().removeIf(departure -> sentNanos - departure.nanos > 0);
  }

  /** Records that a member was promoted, whose log is the valid one from then on. */
  public void recordPromotion() {
    departures.clear();
  }

  /**
   * Returns the number of replicas that may alone hold acknowledged commits.
   *
   * @return The number of replicas.
   */
  public int count() {
    return departures.size();
  }

  /**
   * The end of one run of a replica's process.
   *
   * @param replica The last entry of the replica.
   * @param nanos When it was noticed, as a monotonic clock reading in nanoseconds.
   */
  private record Departure(MemberEntry replica, long nanos) {}

  /** One run of the process of a replica. */
  private record Incarnation(String id, long bornMillis) {

    private static Incarnation of(MemberEntry entry) {
      return new Incarnation(entry.id(), entry.bornMillis());
    }
  }
}
