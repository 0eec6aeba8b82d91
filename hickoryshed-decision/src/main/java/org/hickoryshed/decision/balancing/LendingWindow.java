package org.hickoryshed.decision.balancing;

/**
 * Learns how many statements the holder of a member's connections may have in flight there before
 * others are better served elsewhere.
 *
 * <p>The window grows by one statement with each window of responses and shrinks by a fifth when
 * the member refuses a statement or when its response time rises well above what it is without a
 * queue. It never stops a statement that no other member can serve.
 *
 * <p>Times are in nanoseconds. Not thread-safe.
 */
public final class LendingWindow {

  /** The factor by which the window shrinks. */
  private static final double SHRINK = 0.8;

  /** The ratio of the recent response time to that without a queue that counts as congestion. */
  private static final double CONGESTED_RATIO = 2;

  /** The weight of a new sample in the recent response time. */
  private static final double RECENT_WEIGHT = 0.15;

  /** The weight with which the response time without a queue follows a higher recent one. */
  private static final double RISE_WEIGHT = 0.005;

  /** The least time between two shrinks, so that one congestion counts once. */
  private static final long SHRINK_INTERVAL_NANOS = 100_000_000;

  private double max;

  private double size;

  private double recentNanos;

  private double unqueuedNanos;

  private long shrunkAt;

  /**
   * Creates a window that is open to the number of slots of the member.
   *
   * @param slots The number of statements that the member runs concurrently.
   * @param max The largest size that the window grows to.
   */
  public LendingWindow(int slots, int max, long now) {
    this.max = Math.max(1, max);
    size = Math.clamp(slots, 1, this.max);
    shrunkAt = now - SHRINK_INTERVAL_NANOS;
  }

  /**
   * Changes the largest size that the window grows to.
   *
   * @param limit The size.
   */
  public void limit(int limit) {
    max = Math.max(1, limit);
    size = Math.min(size, max);
  }

  /**
   * Checks if a statement that another member can serve is better sent there.
   *
   * @param inFlight The number of statements of this holder at the member.
   */
  public boolean isFull(int inFlight) {
    return inFlight >= (int) size;
  }

  /** Returns the number of statements that may be in flight. */
  public int size() {
    return (int) size;
  }

  /** Returns the recent response time of the member, zero before the first response. */
  public long responseNanos() {
    return (long) recentNanos;
  }

  /**
   * Records a response.
   *
   * @param nanos The time from the sending of the statement to the response.
   * @param inFlight The number of statements in flight when it arrived, including this one.
   */
  public void onResponse(long now, long nanos, int inFlight) {
    if (unqueuedNanos == 0) {
      recentNanos = nanos;
      unqueuedNanos = nanos;
    }
    recentNanos += RECENT_WEIGHT * (nanos - recentNanos);
    if (recentNanos < unqueuedNanos) {
      unqueuedNanos = recentNanos;
    } else {
      unqueuedNanos += RISE_WEIGHT * (recentNanos - unqueuedNanos);
    }
    if (recentNanos > CONGESTED_RATIO * unqueuedNanos) {
      shrink(now);
    } else if (inFlight + 1 >= (int) size) {
      size = Math.min(max, size + 1 / size);
    }
  }

  /** Records that the member refused a statement because it was overloaded. */
  public void onRefused(long now) {
    shrink(now);
  }

  private void shrink(long now) {
    if (now - shrunkAt >= SHRINK_INTERVAL_NANOS) {
      shrunkAt = now;
      size = Math.max(1, size * SHRINK);
    }
  }
}
