package org.hickoryshed.decision.freshness;

/**
 * A point in time, read from the monotonic clock and the wall clock of a VM.
 *
 * <p>The monotonic clock stops while the VM is suspended, and the wall clock may jump. The elapsed
 * time between two readings is therefore the larger of both differences: an error of one clock
 * alone may make it too large, but never too small.
 *
 * @param monotonicNanos The reading of the monotonic clock in nanoseconds.
 * @param wallMillis The wall clock time in milliseconds since the epoch.
 */
public record ClockReading(long monotonicNanos, long wallMillis) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Returns the time that elapsed between an earlier reading and this one.
   *
   * @param earlier The earlier reading, taken in the same process.
   * @return The elapsed time in milliseconds, rounded up.
   */
  public long millisSince(ClockReading earlier) {
    long monotonicMillis =
        (monotonicNanos - earlier.monotonicNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    return Math.max(monotonicMillis, wallMillis - earlier.wallMillis);
  }

  /**
   * Returns the reading that both clocks would have shown earlier.
   *
   * @param millis The time to subtract in milliseconds.
   * @return The earlier reading.
   */
  public ClockReading minusMillis(long millis) {
    return new ClockReading(monotonicNanos - millis * NANOS_PER_MILLI, wallMillis - millis);
  }
}
