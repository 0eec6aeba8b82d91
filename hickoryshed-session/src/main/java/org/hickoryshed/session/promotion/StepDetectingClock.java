package org.hickoryshed.session.promotion;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.hickoryshed.decision.freshness.ClockReading;

/**
 * The wall clock and the monotonic clock of a process, which together show if the wall clock was
 * stepped since the process started. Thread-safe if both clocks are.
 */
final class StepDetectingClock {

  /** Smaller differences of the two clocks are drift, in milliseconds. */
  private static final long MIN_STEP_MILLIS = 1000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final InstantSource wallClock;

  private final LongSupplier monotonicClock;

  private final ClockReading start;

  /**
   * Creates a clock and reads both clocks as those of the start.
   *
   * @param wallClock The wall clock.
   * @param monotonicClock The monotonic clock in nanoseconds.
   */
  StepDetectingClock(InstantSource wallClock, LongSupplier monotonicClock) {
    this.wallClock = wallClock;
    this.monotonicClock = monotonicClock;
    start = read();
  }

  /** Returns what both clocks show. */
  ClockReading read() {
    return new ClockReading(monotonicNanos(), wallClock.millis());
  }

  /** Returns the reading of the monotonic clock in nanoseconds. */
  long monotonicNanos() {
    return monotonicClock.getAsLong();
  }

  /**
   * Returns the wall clock time at the start plus the time that the monotonic clock counted since,
   * so that later steps of the wall clock do not matter.
   *
   * @return The time in milliseconds since the epoch.
   */
  long steadyMillis() {
    return start.wallMillis() + (monotonicNanos() - start.monotonicNanos()) / NANOS_PER_MILLI;
  }

  /** Checks if the wall clock was stepped since the start, or the process suspended. */
  boolean hasStepped() {
    return Math.abs(wallClock.millis() - steadyMillis()) > MIN_STEP_MILLIS;
  }
}
