package org.hickoryshed.decision.balancing;

/**
 * Learns how old a log position has to be until replicas usually hold it, so that a read that must
 * see a commit of a moment ago is not sent to a replica that refuses it.
 *
 * <p>Not thread-safe.
 */
public final class ReplicationLag {

  /** The assumed lag before the first refusal, in milliseconds. */
  private static final double INITIAL_MILLIS = 100;

  /** The limit of the usual lag in milliseconds; a replica that lags more is an exception. */
  private static final double MAX_MILLIS = 500;

  /** A refusal raises the lag towards this multiple of the age of the position. */
  private static final double MARGIN = 1.5;

  /** The weight of a refusal. */
  private static final double REFUSAL_WEIGHT = 0.25;

  /** The factor by which the lag falls with each read of a position that is little older. */
  private static final double FALL = 0.998;

  private double millis = INITIAL_MILLIS;

  /** Returns the usual lag in milliseconds. */
  public long millis() {
    return (long) millis;
  }

  /**
   * Checks if replicas usually hold a position.
   *
   * @param ageMillis The time since the position was known to be reached.
   */
  public boolean isPassed(long ageMillis) {
    return ageMillis >= millis;
  }

  /** Records that a read of a position of an age is sent to a replica. */
  public void onSent(long ageMillis) {
    if (isPassed(ageMillis) && ageMillis < 2 * millis) {
      millis *= FALL;
    }
  }

  /** Records that a replica lacked a position of an age. */
  public void onRefused(long ageMillis) {
    if (ageMillis <= MAX_MILLIS) {
      double target = Math.min(MAX_MILLIS, Math.max(millis, MARGIN * ageMillis));
      millis += REFUSAL_WEIGHT * (target - millis);
    }
  }
}
