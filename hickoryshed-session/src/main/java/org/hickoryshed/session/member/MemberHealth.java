package org.hickoryshed.session.member;

/** What is known of a member from its answers and failures; times are on the steady clock. */
final class MemberHealth {

  /** The first pause before a member that failed is tried again, in milliseconds. */
  private static final long FIRST_RETRY_MILLIS = 100;

  /** The longest pause before a member that failed is tried again, in milliseconds. */
  private static final long LONGEST_RETRY_MILLIS = 1000;

  /** The weight of a new sample in the mean time of an answer. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** False after a failure, until the member takes a connection again. */
  private boolean reachable = true;

  /** The pause before the next attempt to reach the member, in milliseconds. */
  private long retryMillis = FIRST_RETRY_MILLIS;

  /** The time until which the member is taken to be behind, in nanoseconds. */
  private long behindUntil;

  /** The time when the member last answered, in nanoseconds. */
  private long lastAnswer;

  /** The mean time between a statement and its answer, in nanoseconds. */
  private double meanAnswerNanos;

  /**
   * Creates the health of a member that is taken to be well.
   *
   * @param now The present time in nanoseconds.
   * @param distanceMillis The assumed time to the member in milliseconds, one way.
   */
  MemberHealth(long now, long distanceMillis) {
    behindUntil = now;
    lastAnswer = now;
    meanAnswerNanos = 2.0 * distanceMillis * NANOS_IN_MILLI;
  }

  /**
   * Checks if statements can be sent to the member.
   *
   * @return {@code true} unless the member failed and took no connection since.
   */
  boolean isReachable() {
    return reachable;
  }

  /**
   * Notes that the member took a connection.
   *
   * @return {@code true} if it had failed before.
   */
  boolean noteReachable() {
    boolean returned = !reachable;
    reachable = true;
    retryMillis = FIRST_RETRY_MILLIS;
    return returned;
  }

  /**
   * Notes that the member failed.
   *
   * @return The pause before the next attempt in milliseconds, longer each time.
   */
  long noteUnreachable() {
    reachable = false;
    long pause = retryMillis;
    retryMillis = Math.min(retryMillis * 2, LONGEST_RETRY_MILLIS);
    return pause;
  }

  /**
   * Notes an answer.
   *
   * @param now The present time in nanoseconds.
   * @param nanos The time that the answer took, in nanoseconds.
   */
  void noteAnswer(long now, long nanos) {
    lastAnswer = now;
    meanAnswerNanos += SAMPLE_WEIGHT * (nanos - meanAnswerNanos);
  }

  /**
   * Checks if the member answered anything since a time.
   *
   * @param since The time in nanoseconds.
   * @return {@code true} if it answered.
   */
  boolean hasAnsweredSince(long since) {
    return lastAnswer - since >= 0;
  }

  /**
   * Notes that the member lacked a required position.
   *
   * @param now The present time in nanoseconds.
   * @param pauseMillis The time for which other members are preferred, in milliseconds.
   */
  void noteBehind(long now, long pauseMillis) {
    behindUntil = now + pauseMillis * NANOS_IN_MILLI;
  }

  /**
   * Checks if other members are to be preferred since the member recently lacked a position.
   *
   * @param now The present time in nanoseconds.
   * @return {@code true} if others are to be preferred.
   */
  boolean isBehind(long now) {
    return behindUntil - now > 0;
  }

  /**
   * Returns the mean time between a statement and its answer.
   *
   * @return The time in nanoseconds.
   */
  double meanAnswerNanos() {
    return meanAnswerNanos;
  }
}
