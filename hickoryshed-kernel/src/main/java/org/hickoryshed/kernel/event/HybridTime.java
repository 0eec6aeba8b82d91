package org.hickoryshed.kernel.event;

import java.util.Comparator;

/**
 * A hybrid logical time: wall clock time with a counter that orders causally related events.
 *
 * @param milliseconds The wall clock part in milliseconds since the epoch.
 * @param counter The logical part.
 */
public record HybridTime(long milliseconds, int counter) implements Comparable<HybridTime> {

  /** The order of hybrid times. */
  private static final Comparator<HybridTime> ORDER =
      Comparator.comparingLong(HybridTime::milliseconds).thenComparingInt(HybridTime::counter);

  @Override
  public int compareTo(HybridTime other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns the time that follows this time and another time.
   *
   * @param other The time that was received or last issued.
   * @param wallClock The wall clock in milliseconds since the epoch.
   * @return A time later than both.
   */
  public HybridTime next(HybridTime other, long wallClock) {
    HybridTime latest = compareTo(other) >= 0 ? this : other;
    return wallClock > latest.milliseconds
        ? new HybridTime(wallClock, 0)
        : new HybridTime(latest.milliseconds, latest.counter + 1);
  }
}
