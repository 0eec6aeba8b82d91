package org.hickoryshed.session.member;

import java.util.concurrent.ThreadLocalRandom;

/** What the refusals of new connections mean for the next ones; times are on the steady clock. */
final class ConnectBackoff {

  /** The first pause after a refusal in milliseconds. */
  private static final long FIRST_PAUSE_MILLIS = 40;

  /** The longest pause after refusals in a row in milliseconds. */
  private static final long LONGEST_PAUSE_MILLIS = 320;

  /** The time after a refusal in which no more than a fair share is held, in milliseconds. */
  private static final long CONTENDED_MILLIS = 1000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The time until which no connection is opened, in nanoseconds. */
  private long pausedUntil;

  /** The pause after the last refusal in milliseconds, zero after a success. */
  private long pauseMillis;

  /** The time until which the member is taken to refuse any proxy, in nanoseconds. */
  private long contendedUntil;

  /**
   * Creates refusals of a member that has refused nothing.
   *
   * @param now The present time in nanoseconds.
   */
  ConnectBackoff(long now) {
    pausedUntil = now;
    contendedUntil = now;
  }

  /**
   * Checks if a connection may be opened.
   *
   * @param now The present time in nanoseconds.
   * @return {@code true} unless a pause after a refusal is under way.
   */
  boolean mayOpen(long now) {
    return now - pausedUntil >= 0;
  }

  /**
   * Checks if the last attempt was refused.
   *
   * @return {@code true} if so; one connection is tried at a time then.
   */
  boolean wasLastRefused() {
    return pauseMillis > 0;
  }

  /** Notes that the member took a connection. */
  void noteOpened() {
    pauseMillis = 0;
  }

  /**
   * Notes a refusal.
   *
   * @param now The present time in nanoseconds.
   * @return The pause until the next attempt in milliseconds.
   */
  long noteRefused(long now) {
    pauseMillis = Math.clamp(2 * pauseMillis, FIRST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
    long pause = ThreadLocalRandom.current().nextLong(pauseMillis / 2, pauseMillis);
    pausedUntil = now + pause * NANOS_IN_MILLI;
    return pause;
  }

  /**
   * Notes that the member refuses connections since it has too many, of whichever proxy.
   *
   * @param now The present time in nanoseconds.
   */
  void noteContention(long now) {
    contendedUntil = now + CONTENDED_MILLIS * NANOS_IN_MILLI;
  }

  /**
   * Checks if other proxies may lack the connections that this one has.
   *
   * @param now The present time in nanoseconds.
   * @return {@code true} if the member refused a connection of any proxy a moment ago.
   */
  boolean isContended(long now) {
    return contendedUntil - now > 0;
  }
}
