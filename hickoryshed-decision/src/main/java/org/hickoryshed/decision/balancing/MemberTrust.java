package org.hickoryshed.decision.balancing;

/**
 * Decides from the outcomes of its statements whether a member is used, whatever its status checks
 * say.
 *
 * <p>A member that fails a considerable part of its recent statements is distrusted for a while.
 * After that it gets one statement at a time as a probe, and is trusted again once several probes
 * in a row succeeded. Each return of the failures doubles the time.
 *
 * <p>Times are readings of a monotonic clock in nanoseconds. Not thread-safe.
 */
public final class MemberTrust {

  /** Whether a member is used. */
  public enum State {
    /** The member gets its full share of the statements. */
    TRUSTED,
    /** The member gets no statement that another member can serve. */
    DISTRUSTED,
    /** The member gets the next statement, to see if it serves it. */
    PROBED
  }

  /** The share of failures from which on a member is distrusted. */
  private static final double MAX_FAILURE_SHARE = 0.2;

  /** The least weight of the recent outcomes that a judgement needs. */
  private static final double MIN_EVIDENCE = 4;

  /** The time after which an outcome has a third of its weight. */
  private static final double DECAY_NANOS = 1e9;

  /** The shortest time for which a member is distrusted. */
  private static final long FIRST_PAUSE_NANOS = 500_000_000;

  /** The longest time for which a member is distrusted. */
  private static final long MAX_PAUSE_NANOS = 4_000_000_000L;

  /** The number of successful probes in a row after which a member is trusted again. */
  private static final int PROBES = 3;

  /** The time after which a probe without an outcome is repeated. */
  private static final long PROBE_NANOS = 500_000_000;

  private double weight;

  private double failures;

  private long lastOutcomeAt;

  /** The number of successful probes that are missing, zero for a trusted member. */
  private int missingProbes;

  /** True while the outcome of a probe is awaited. */
  private boolean probing;

  /** When the next probe may be sent. */
  private long probeAt;

  private long pauseNanos = FIRST_PAUSE_NANOS;

  /** Starts with a trusted member. */
  public MemberTrust(long now) {
    lastOutcomeAt = now;
    probeAt = now;
  }

  /** Returns whether the member is used now. */
  public State state(long now) {
    if (missingProbes == 0) {
      return State.TRUSTED;
    }
    return probeAt - now > 0 ? State.DISTRUSTED : State.PROBED;
  }

  /** Records that a statement is sent, which is a probe unless the member is trusted. */
  public void onSent(long now) {
    if (state(now) == State.PROBED) {
      probing = true;
      probeAt = now + PROBE_NANOS;
    }
  }

  /**
   * Records the outcome of a statement that the member took on.
   *
   * @param served True if the member responded in time and without a failure of its own.
   * @return True if the member is trusted no longer, or again.
   */
  public boolean onOutcome(long now, boolean served) {
    double kept = Math.exp(-(now - lastOutcomeAt) / DECAY_NANOS);
    lastOutcomeAt = now;
    weight = weight * kept + 1;
    failures = failures * kept + (served ? 0 : 1);
    if (missingProbes > 0) {
      return onProbeOutcome(now, served);
    }
    if (weight < MIN_EVIDENCE || failures < MAX_FAILURE_SHARE * weight) {
      return false;
    }
    distrust(now);
    return true;
  }

  /** Statements that were sent before the judgement are no probes; their outcomes don't count. */
  private boolean onProbeOutcome(long now, boolean served) {
    if (!probing) {
      return false;
    }
    probing = false;
    if (!served) {
      pauseNanos = Math.min(2 * pauseNanos, MAX_PAUSE_NANOS);
      distrust(now);
      return false;
    }
    missingProbes--;
    probeAt = now;
    if (missingProbes == 0) {
      weight = 0;
      failures = 0;
      pauseNanos = FIRST_PAUSE_NANOS;
      return true;
    }
    return false;
  }

  private void distrust(long now) {
    missingProbes = PROBES;
    probeAt = now + pauseNanos;
  }
}
