package org.hickoryshed.decision.freshness;

/**
 * A moment on the two clocks of a VM.
 *
 * <p>The steady clock stands still while the VM is suspended, and the time of day may jump. An age
 * is therefore the larger of both elapsed times: it may be overstated, never understated by one
 * clock alone.
 *
 * @param steadyNanos The reading of the steady clock in nanoseconds.
 * @param wallMillis The time of day in milliseconds since the epoch.
 */
public record ClockReading(long steadyNanos, long wallMillis) {

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /**
   * Returns the time that passed between another moment and this one.
   *
   * @param earlier The earlier moment.
   * @return The elapsed time in milliseconds, rounded up.
   */
  public long millisSince(ClockReading earlier) {
    long steady = (steadyNanos - earlier.steadyNanos + NANOS_IN_MILLI - 1) / NANOS_IN_MILLI;
    return Math.max(steady, wallMillis - earlier.wallMillis);
  }

  /**
   * Returns an earlier moment.
   *
   * @param millis The time between that moment and this one in milliseconds.
   * @return The earlier moment.
   */
  public ClockReading minusMillis(long millis) {
    return new ClockReading(steadyNanos - millis * NANOS_IN_MILLI, wallMillis - millis);
  }
}
