package org.hickoryshed.session.promotion;

import org.hickoryshed.decision.promotion.PrimaryFailureVote;

/** What is going on about the primary of one pool. */
final class PoolFailoverState {

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The name of the pool. */
  final String pool;

  /** The stage. */
  Stage stage = Stage.REST;

  /** Why the primary is to be replaced. */
  String reason = "";

  /** The number of the question of the present vote. */
  long question;

  /** The present vote. */
  PrimaryFailureVote vote = new PrimaryFailureVote(0);

  /** The reading of the steady clock until which nothing is started, in nanoseconds. */
  private long quietUntil;

  /**
   * Creates a new case that rests.
   *
   * @param pool The name of the pool.
   * @param now The reading of the steady clock in nanoseconds.
   */
  PoolFailoverState(String pool, long now) {
    this.pool = pool;
    quietUntil = now;
  }

  /**
   * Lets the case rest for a while.
   *
   * @param now The reading of the steady clock in nanoseconds.
   * @param millis The time in milliseconds.
   */
  void pause(long now, long millis) {
    quietUntil = now + millis * NANOS_IN_MILLI;
  }

  /**
   * Checks if the case rests.
   *
   * @param now The reading of the steady clock in nanoseconds.
   * @return {@code true} if no vote and no order is to start.
   */
  boolean isQuiet(long now) {
    return quietUntil - now > 0;
  }

  /** The stage of a case. */
  enum Stage {
    /** Nothing is going on. */
    REST,
    /** The proxies vote. */
    VOTE,
    /** The members are asked for their positions. */
    SURVEY,
    /** The order is being given. */
    ORDER
  }
}
