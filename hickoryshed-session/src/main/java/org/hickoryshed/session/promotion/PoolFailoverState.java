package org.hickoryshed.session.promotion;

import org.hickoryshed.decision.promotion.PrimaryFailureVote;

/**
 * The failover state machine of one pool, owned by {@link PrimaryMonitor}.
 *
 * <p>Confined to the thread of the event loop.
 */
final class PoolFailoverState {

  private static final long NANOS_PER_MILLI = 1_000_000;

  final String pool;

  Stage stage = Stage.IDLE;

  /** The reason given in the log lines of a failover. */
  String reason = "";

  /** The identifier of the current vote; probe responses carry it. */
  long voteId;

  PrimaryFailureVote vote = new PrimaryFailureVote(0);

  /** The monotonic clock reading in nanoseconds before which no vote or promotion starts. */
  private long pausedUntil;

  PoolFailoverState(String pool, long now) {
    this.pool = pool;
    pausedUntil = now;
  }

  /**
   * Prevents votes and promotions for a while.
   *
   * @param now The monotonic clock reading in nanoseconds.
   * @param millis The length of the pause in milliseconds.
   */
  void pause(long now, long millis) {
    pausedUntil = now + millis * NANOS_PER_MILLI;
  }

  /**
   * Checks if votes and promotions are paused.
   *
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} if no vote and no promotion may start.
   */
  boolean isPaused(long now) {
    return pausedUntil - now > 0;
  }

  /** The stage of a failover. */
  enum Stage {
    /** No failover is in progress. */
    IDLE,
    /** The proxies vote on whether the primary failed. */
    VOTING,
    /** The members are requested to report their log positions. */
    COLLECTING_STATUS,
    /** The promotion is being recorded and requested. */
    PROMOTING
  }
}
