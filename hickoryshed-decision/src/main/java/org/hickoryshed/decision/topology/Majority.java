package org.hickoryshed.decision.topology;

/** Computes the size of a majority quorum. */
public final class Majority {

  private Majority() {}

  /**
   * Returns the size of a majority.
   *
   * @param total The total number of voters.
   * @return The smallest number that is more than half.
   */
  public static int of(int total) {
    return total / 2 + 1;
  }
}
