package org.hickoryshed.session.member;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Delays new connections to a member that refused one, with exponential backoff and jitter.
 *
 * <p>It also remembers whether the member has recently reached its connection limit. Times are
 * readings of the monotonic clock in nanoseconds.
 */
final class ConnectBackoff {

  /** The pause after the first refusal, before jitter, in milliseconds. */
  private static final long FIRST_PAUSE_MILLIS = 40;

  /** The upper limit of the pause, which doubles with each refusal, in milliseconds. */
  private static final long MAX_PAUSE_MILLIS = 320;

  /**
   * How long a proxy holds no more than its fair share after the member reached its limit, in
   * milliseconds.
   */
  private static final long CONTENDED_MILLIS = 1000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private long pausedUntil;

  /** The pause after the last refusal before jitter, zero after a success. */
  private long pauseMillis;

  /** Until when the member counts as having reached its connection limit. */
  private long contendedUntil;

  ConnectBackoff(long now) {
    pausedUntil = now;
    contendedUntil = now;
  }

  /** Checks if a connection may be opened, which is so unless a pause after a refusal lasts. */
  boolean mayConnect(long now) {
    return now - pausedUntil >= 0;
  }

  /** Checks if the last attempt was refused; until one succeeds, only one is made at a time. */
  boolean wasLastRefused() {
    return pauseMillis > 0;
  }

  /** Records that the member accepted a connection, which resets the pause. */
  void onOpened() {
    pauseMillis = 0;
  }

  /**
   * Records a refusal.
   *
   * @return The pause before the next attempt in milliseconds, between half and all of a value that
   *     doubles with each refusal up to a maximum.
   */
  long onRefused(long now) {
    pauseMillis = Math.clamp(2 * pauseMillis, FIRST_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    long pause = ThreadLocalRandom.current().nextLong(pauseMillis / 2, pauseMillis);
    pausedUntil = now + pause * NANOS_PER_MILLI;
    return pause;
  }

  /** Records that the member refused a connection of any proxy because it reached its limit. */
  void markContended(long now) {
    contendedUntil = now + CONTENDED_MILLIS * NANOS_PER_MILLI;
  }

  /**
   * Checks if the member recently refused a connection of any proxy because it reached its limit,
   * so that other proxies may lack the connections that this one holds.
   */
  boolean isContended(long now) {
    return contendedUntil - now > 0;
  }
}
