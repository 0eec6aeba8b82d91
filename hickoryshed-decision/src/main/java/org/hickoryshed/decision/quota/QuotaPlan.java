package org.hickoryshed.decision.quota;

/**
 * How the quota of one workspace is divided: equal slots, whose holders grant tokens to all
 * proxies, and a reserve, of which each proxy holds a fixed part.
 *
 * <p>The parts add up to the limit of {@link QuotaBounds} or less. A token is used at most {@link
 * #LEASE_MILLIS} after it was granted, so the operations of one window were granted in a span that
 * is longer by this time; the slots together grant no more than their part of the limit in such a
 * span.
 *
 * @param slots The number of slots, at least one.
 * @param slotRatePerSecond The tokens that one slot gains in a second.
 * @param slotCapacity The tokens that one slot holds at most, of which a holder starts with none.
 * @param reserve The operations that all reserves together admit in one window.
 * @param windowMillis The length of the window in milliseconds.
 */
public record QuotaPlan(
    int slots, double slotRatePerSecond, double slotCapacity, long reserve, long windowMillis) {

  /** The time within which a granted token is used, or expires, in milliseconds. */
  public static final long LEASE_MILLIS = 200;

  /** The number of slots: the limit shrinks by one part while the holder of a slot is lost. */
  private static final int MAX_SLOTS = 3;

  /** The part of the slack that is kept for the reserve. */
  private static final double RESERVED_SLACK = 0.5;

  /** The part of the overshoot that is kept for the reserve. */
  private static final double RESERVED_OVERSHOOT = 0.1;

  /**
   * Divides a quota. Fewer slots are used if the bounds leave no room for a whole token in each.
   *
   * @param ratePerSecond The rate of the workspace in operations a second, finite.
   * @param burst The burst of the workspace in operations.
   * @param bounds The bounds to keep.
   * @return The plan.
   */
  public static QuotaPlan of(double ratePerSecond, long burst, QuotaBounds bounds) {
    double limit = bounds.limit(ratePerSecond, burst);
    double base = ratePerSecond * bounds.windowMillis() / 1000 + burst;
    long reserve =
        (long) (RESERVED_SLACK * bounds.slack() + RESERVED_OVERSHOOT * bounds.overshoot() * base);
    double granted = limit - reserve;
    double span = (bounds.windowMillis() + LEASE_MILLIS) / 1000.0;
    for (int slots = MAX_SLOTS; ; slots--) {
      // One more token for each slot, since only whole tokens are granted.
      double tokens = burst + slots;
      double scale = granted / (ratePerSecond * span + tokens);
      double capacity = Math.min(granted, Math.max(1, scale) * tokens);
      double rate = Math.max(0, (granted - capacity) / span);
      if (slots == 1 || rate >= ratePerSecond) {
        return new QuotaPlan(slots, rate / slots, capacity / slots, reserve, bounds.windowMillis());
      }
    }
  }

  /**
   * Returns the part of the reserve that one proxy holds.
   *
   * @param rank The rank of the proxy among all proxies, from zero.
   * @param proxies The number of proxies.
   * @return The operations that it may admit in one window.
   */
  public long reserveOf(int rank, int proxies) {
    return reserve / proxies + (rank < reserve % proxies ? 1 : 0);
  }
}
