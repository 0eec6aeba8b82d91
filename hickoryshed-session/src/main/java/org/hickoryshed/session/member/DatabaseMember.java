package org.hickoryshed.session.member;

import java.time.Duration;
import java.util.OptionalLong;

/** A member's pool and whether it may be used as the primary. */
final class DatabaseMember {

  private static final long NANOS_PER_MILLI = 1_000_000;

  final MemberConnectionPool pool;

  /**
   * The time by which a member is spared before its drain period ends, in milliseconds. This
   * process learns of the drain late, and statements are on their way for a while.
   */
  private static final long DRAIN_MARGIN_MILLIS = 1000;

  /** Until when the member is not used as the primary, in nanoseconds of the monotonic clock. */
  long notPrimaryUntil;

  /** When the member was last suspended, in nanoseconds of the monotonic clock. */
  long suspendedSince;

  /** Until when the member is suspended, in nanoseconds of the monotonic clock. */
  long suspendedUntil;

  /**
   * When this process learned that the member is leaving, in nanoseconds of the monotonic clock;
   * empty if it is not.
   */
  private OptionalLong drainingSince = OptionalLong.empty();

  DatabaseMember(MemberConnectionPool pool, long now) {
    this.pool = pool;
    onEntry(now);
    notPrimaryUntil = now;
    suspendedUntil = now;
  }

  /** Handles a new or changed entry of the member. */
  void onEntry(long now) {
    if (!pool.entry().draining()) {
      drainingSince = OptionalLong.empty();
    } else if (drainingSince.isEmpty()) {
      drainingSince = OptionalLong.of(now);
    }
  }

  /** Checks if the member is leaving and its drain period is about to end or over. */
  boolean isDrained(long now, Duration drainPeriod) {
    long usableNanos = drainPeriod.toNanos() - DRAIN_MARGIN_MILLIS * NANOS_PER_MILLI;
    return drainingSince.isPresent() && now - drainingSince.getAsLong() > usableNanos;
  }

  /** Checks if the member is suspended as the primary. */
  boolean isSuspended(long now) {
    return suspendedUntil - now > 0;
  }

  /** Suspends the member as the primary, or extends the time for which it is. */
  void suspend(long now, long millis) {
    if (!isSuspended(now)) {
      suspendedSince = now;
    }
    suspendedUntil = now + millis * NANOS_PER_MILLI;
  }
}
