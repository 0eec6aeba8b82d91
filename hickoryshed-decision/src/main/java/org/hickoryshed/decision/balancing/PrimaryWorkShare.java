package org.hickoryshed.decision.balancing;

/**
 * Measures the share of a database's work that only its primary may run, so that the primary gets
 * fewer of the reads that others can serve.
 *
 * <p>Times are in nanoseconds. Not thread-safe.
 */
public final class PrimaryWorkShare {

  /** The time after which work has a third of its weight. */
  private static final double DECAY_NANOS = 5e9;

  /** The recent work of any kind. */
  private double all;

  private double primaryOnly;

  private long recordedAt;

  /** Starts without work. */
  public PrimaryWorkShare(long now) {
    recordedAt = now;
  }

  /**
   * Records a response.
   *
   * @param nanos The time from the sending of the statement to the response.
   * @param onlyPrimary True if no replica might have run the statement.
   */
  public void record(long now, long nanos, boolean onlyPrimary) {
    double kept = Math.exp(-(now - recordedAt) / DECAY_NANOS);
    recordedAt = now;
    all = all * kept + nanos;
    primaryOnly = primaryOnly * kept + (onlyPrimary ? nanos : 0);
  }

  /** Returns the share, from zero to one; zero without work. */
  public double value() {
    return all > 0 ? primaryOnly / all : 0;
  }
}
