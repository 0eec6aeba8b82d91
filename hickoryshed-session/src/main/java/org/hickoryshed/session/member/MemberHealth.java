package org.hickoryshed.session.member;

/**
 * Tracks the reachability, response time and replication lag of a member from its responses and
 * failures.
 *
 * <p>Times are readings of the monotonic clock in nanoseconds.
 */
final class MemberHealth {

  /** The pause before the first attempt to reconnect after a failure, in milliseconds. */
  private static final long FIRST_RETRY_MILLIS = 100;

  /** The upper limit of the pause, which doubles with each failure, in milliseconds. */
  private static final long MAX_RETRY_MILLIS = 1000;

  /** The weight of a new sample in the moving average of the response time. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** False from a failure until the member accepts a connection again. */
  private boolean reachable = true;

  /** The pause before the next attempt to connect, doubled after each failure. */
  private long retryMillis = FIRST_RETRY_MILLIS;

  /** Until when other members are preferred since this one lacked a required log position. */
  private long behindUntil;

  private long lastResponse;

  /** The exponential moving average of the time from a statement to its response. */
  private double meanResponseNanos;

  /**
   * Starts with a reachable member that is not behind.
   *
   * @param oneWayLatencyMillis The assumed network latency to the member; a round trip is the first
   *     estimate of the response time.
   */
  MemberHealth(long now, long oneWayLatencyMillis) {
    behindUntil = now;
    lastResponse = now;
    meanResponseNanos = 2.0 * oneWayLatencyMillis * NANOS_PER_MILLI;
  }

  /** Returns {@code false} from a failure until the member accepts a connection again. */
  boolean isReachable() {
    return reachable;
  }

  /**
   * Records that the member accepted a connection.
   *
   * @return {@code true} if it counted as unreachable before.
   */
  boolean markReachable() {
    boolean recovered = !reachable;
    reachable = true;
    retryMillis = FIRST_RETRY_MILLIS;
    return recovered;
  }

  /**
   * Records that the member failed.
   *
   * @return The pause before the next attempt to connect in milliseconds, twice the last one up to
   *     a maximum.
   */
  long markUnreachable() {
    reachable = false;
    long pause = retryMillis;
    retryMillis = Math.min(retryMillis * 2, MAX_RETRY_MILLIS);
    return pause;
  }

  /**
   * Records a response.
   *
   * @param nanos The time since its statement was sent.
   */
  void recordResponse(long now, long nanos) {
    lastResponse = now;
    meanResponseNanos += SAMPLE_WEIGHT * (nanos - meanResponseNanos);
  }

  /** Checks if any response of the member arrived at or after a time. */
  boolean hasRespondedSince(long since) {
    return lastResponse - since >= 0;
  }

  /**
   * Records that the member's log lacked a position that a statement required.
   *
   * @param pauseMillis How long other members are preferred.
   */
  void markBehind(long now, long pauseMillis) {
    behindUntil = now + pauseMillis * NANOS_PER_MILLI;
  }

  /** Checks if other members are preferred since this one recently lacked a log position. */
  boolean isBehind(long now) {
    return behindUntil - now > 0;
  }

  /** Returns the exponential moving average of the time from a statement to its response. */
  double meanResponseNanos() {
    return meanResponseNanos;
  }
}
