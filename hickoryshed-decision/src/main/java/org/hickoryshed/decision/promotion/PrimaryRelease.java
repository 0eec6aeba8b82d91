package org.hickoryshed.decision.promotion;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides when a recorded promotion may be requested where nobody else stops the replaced primary:
 * once no proxy may use it by the time at which the promotion takes effect.
 *
 * <p>If all known proxies promised not to use it, that is at once. Otherwise those that did not may
 * hold evidence from before the promises of the others. A quorum of promises prevents that they get
 * any later one, so the request waits until the old evidence has run out.
 *
 * <p>Not thread-safe.
 */
public final class PrimaryRelease {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The names of all proxies that may use the primary. */
  private final Set<String> fleet;

  private final LeaseElectors electors;

  /** The time from the quorum of promises to the request, in nanoseconds. */
  private final long waitNanos;

  private final Set<String> promised = new HashSet<>();

  private boolean quorum;

  /** When the quorum was reached, in nanoseconds of the monotonic clock. */
  private long quorumNanos;

  /**
   * Creates a release without promises.
   *
   * @param fleet The names of all proxies that may use the primary, the promoting one included.
   * @param electors The proxies that count in votes; a quorum of them has to promise.
   * @param leastEffectMillis The least time from a request to its effect, in milliseconds.
   */
  public PrimaryRelease(Set<String> fleet, LeaseElectors electors, long leastEffectMillis) {
    this.fleet = Set.copyOf(fleet);
    this.electors = electors;
    waitNanos = (PrimaryLease.VALID_MILLIS - leastEffectMillis) * NANOS_PER_MILLI;
  }

  /**
   * Records that a proxy promised, after the record was written, not to use the primary.
   *
   * @param proxy The name of the proxy.
   * @param nowNanos The monotonic clock's reading in nanoseconds.
   */
  public void recordPromise(String proxy, long nowNanos) {
    promised.add(proxy);
    if (!quorum && electors.isQuorum(promised)) {
      quorum = true;
      quorumNanos = nowNanos;
    }
  }

  /**
   * Returns the proxies that have not promised.
   *
   * @return Their names.
   */
  public Set<String> missing() {
    Set<String> missing = new HashSet<>(fleet);
    missing.removeAll(promised);
    return missing;
  }

  /**
   * Returns the earliest time for the request, as far as is known now.
   *
   * @return The monotonic clock's reading in nanoseconds, in the past if the request may be sent
   *     now; empty as long as too few proxies promised.
   */
  public OptionalLong requestNanos() {
    if (!quorum) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(missing().isEmpty() ? quorumNanos : quorumNanos + waitNanos);
  }
}
