package org.hickoryshed.decision.balancing;

import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Tells which log positions a member is known, or likely, to hold.
 *
 * <p>A refusal because a position is missing only rules out reads that require as much; the member
 * goes on to serve older ones. It is tried again after a pause that grows while it goes on to
 * refuse.
 *
 * <p>Times are readings of a monotonic clock in nanoseconds. Not thread-safe.
 */
public final class ReplicaCatchUp {

  private static final long FIRST_PAUSE_NANOS = 40_000_000;

  private static final long MAX_PAUSE_NANOS = 320_000_000;

  private LogPosition held = LogPosition.ORIGIN;

  /** The lowest position that the member recently lacked. */
  private Optional<LogPosition> missing = Optional.empty();

  private long retryAt;

  private long pauseNanos = FIRST_PAUSE_NANOS;

  /** Records the position that the member reported last. */
  public void onPosition(LogPosition position) {
    held = position;
    if (missing.filter(position::covers).isPresent()) {
      missing = Optional.empty();
      pauseNanos = FIRST_PAUSE_NANOS;
    }
  }

  /** Returns the position that the member reported last. */
  public LogPosition held() {
    return held;
  }

  /** Checks if the member is known to hold a position. */
  public boolean holds(LogPosition required) {
    return held.covers(required);
  }

  /** Records that the member refused a statement because it lacks a position. */
  public void onMissing(long now, LogPosition required) {
    if (missing.isPresent() && retryAt - now <= 0) {
      pauseNanos = Math.min(2 * pauseNanos, MAX_PAUSE_NANOS);
    }
    missing = Optional.of(missing.filter(known -> !required.isBehind(known)).orElse(required));
    retryAt = now + pauseNanos;
  }

  /** Checks if the member may be asked to run a statement that requires a position. */
  public boolean mayHold(long now, LogPosition required) {
    return held.covers(required)
        || missing.isEmpty()
        || required.isBehind(missing.get())
        || retryAt - now <= 0;
  }

  /**
   * Records that a statement is sent. If it is the one that finds out whether the member has caught
   * up, others wait for its response.
   */
  public void onSent(long now, LogPosition required) {
    if (!held.covers(required)
        && missing.isPresent()
        && !required.isBehind(missing.get())
        && retryAt - now <= 0) {
      retryAt = now + pauseNanos;
      pauseNanos = Math.min(2 * pauseNanos, MAX_PAUSE_NANOS);
    }
  }
}
