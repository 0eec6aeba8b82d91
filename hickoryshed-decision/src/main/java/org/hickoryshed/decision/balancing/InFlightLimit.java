package org.hickoryshed.decision.balancing;

/**
 * Limits how many statements a proxy has in flight at a member over its own connections, so that
 * further ones wait in its queue, by priority, instead of being refused by the member.
 *
 * <p>The limit follows the member: a refusal lowers it by three tenths of what was in flight and
 * stops sending for a moment, which doubles while nothing is served. While it is used up, it grows
 * with the time. It never falls below what fills the slots of the member, so that none stays idle
 * when other proxies have nothing to send.
 *
 * <p>Times are in nanoseconds. Not thread-safe.
 */
public final class InFlightLimit {

  /** The part of the statements in flight that remains after a refusal. */
  private static final double KEPT = 0.7;

  /** The growth in a second, as a part of the limit. */
  private static final double GROWTH_PER_SECOND = 0.1;

  /** The least growth in a second, in statements. */
  private static final double MIN_GROWTH_PER_SECOND = 0.5;

  private static final long FIRST_PAUSE_NANOS = 20_000_000;

  private static final long MAX_PAUSE_NANOS = 160_000_000;

  private static final double NANOS_PER_SECOND = 1e9;

  private int least;

  private int max;

  private double limit;

  private long servedAt;

  private long pausedUntil;

  private long pauseNanos = FIRST_PAUSE_NANOS;

  /**
   * Creates a limit that is not in effect until the member refuses a statement.
   *
   * @param least The number of statements that the member runs concurrently.
   * @param max The number of connections that the member accepts.
   */
  public InFlightLimit(int least, int max, long now) {
    resize(least, max);
    servedAt = now;
    pausedUntil = now;
  }

  /**
   * Changes the bounds. A limit that is not in effect stays so.
   *
   * @param least The number of statements that the member runs concurrently.
   * @param max The number of connections that the member accepts.
   */
  public final void resize(int least, int max) {
    boolean inEffect = limit < this.max;
    this.least = Math.max(1, least);
    this.max = Math.max(this.least, max);
    limit = inEffect ? Math.clamp(limit, this.least, this.max) : this.max;
  }

  /** Checks if one more statement may be sent. */
  public boolean allows(long now, int inFlight) {
    return inFlight < (int) limit && pausedUntil - now <= 0;
  }

  /**
   * Records that the member refused a statement.
   *
   * @param inFlight The number in flight before.
   * @return The time until the next statement may be sent.
   */
  public long onRefused(long now, int inFlight) {
    if (pausedUntil - now <= 0) {
      limit = Math.max(least, KEPT * Math.min(limit, inFlight));
      pausedUntil = now + pauseNanos;
      pauseNanos = Math.min(2 * pauseNanos, MAX_PAUSE_NANOS);
    }
    return pausedUntil - now;
  }

  /** Records that the member served a statement, with the number in flight before. */
  public void onServed(long now, int inFlight) {
    double seconds = Math.min(1, (now - servedAt) / NANOS_PER_SECOND);
    servedAt = now;
    pauseNanos = FIRST_PAUSE_NANOS;
    if (inFlight + 1 >= (int) limit) {
      limit =
          Math.min(
              max, limit + seconds * Math.max(MIN_GROWTH_PER_SECOND, GROWTH_PER_SECOND * limit));
    }
  }
}
