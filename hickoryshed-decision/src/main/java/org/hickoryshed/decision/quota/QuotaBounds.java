package org.hickoryshed.decision.quota;

/**
 * How exactly the quotas of workspaces are to be kept by a whole fleet: in any window, at most
 * {@code (rate x window + burst) x (1 + overshoot) + slack} operations reach members.
 *
 * @param windowMillis The length of the window in milliseconds.
 * @param overshoot The part by which the limit may be exceeded.
 * @param slack The number of operations by which it may be exceeded in addition.
 */
public record QuotaBounds(long windowMillis, double overshoot, long slack) {

  /**
   * Returns the highest number of operations that may reach members in one window.
   *
   * @param ratePerSecond The rate of the workspace in operations a second.
   * @param burst The burst of the workspace in operations.
   * @return The number of operations.
   */
  public double limit(double ratePerSecond, double burst) {
    return (ratePerSecond * windowMillis / 1000 + burst) * (1 + overshoot) + slack;
  }
}
