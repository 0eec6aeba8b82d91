package org.hickoryshed.decision.balancing;

/**
 * What the holder of the connections to a member said about the member.
 *
 * @param inFlight The number of statements that it had in flight at the member.
 * @param responseNanos The recent response time of the member, in nanoseconds, zero if unknown.
 * @param ageMillis The time since it said so, in milliseconds.
 */
public record LoadReport(int inFlight, long responseNanos, long ageMillis) {

  /** The time in which the number in flight loses all but a third of its weight. */
  private static final double IN_FLIGHT_DECAY_MILLIS = 200;

  /** The time for which the response time counts. */
  private static final long RESPONSE_MILLIS = 5000;

  /**
   * Returns the number of statements that may still be in flight.
   *
   * <p>A choice by the least old load sends all callers to the same member, so a report counts less
   * the older it is.
   */
  public double remainingInFlight() {
    return inFlight * Math.exp(-Math.max(0, ageMillis) / IN_FLIGHT_DECAY_MILLIS);
  }

  /** Checks if the response time is known and recent enough to be compared with others. */
  boolean hasResponseTime() {
    return responseNanos > 0 && ageMillis <= RESPONSE_MILLIS;
  }
}
