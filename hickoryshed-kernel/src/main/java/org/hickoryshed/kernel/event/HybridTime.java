package org.hickoryshed.kernel.event;

import java.util.Comparator;

/**
 * A hybrid logical clock timestamp: wall clock time with a counter that keeps causally related
 * events in order although the clocks of the processes differ.
 *
 * @param milliseconds The wall clock part in milliseconds since the epoch.
 * @param counter The logical part, which orders times of the same millisecond.
 */
public record HybridTime(long milliseconds, int counter) implements Comparable<HybridTime> {

  private static final Comparator<HybridTime> ORDER =
      Comparator.comparingLong(HybridTime::milliseconds).thenComparingInt(HybridTime::counter);

  @Override
  public int compareTo(HybridTime other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns a time that is later than this time and another time: the wall clock if it is ahead of
   * both, otherwise the later of both with a raised counter.
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
