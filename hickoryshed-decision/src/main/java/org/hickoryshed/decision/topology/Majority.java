package org.hickoryshed.decision.topology;

/** The arithmetic of majorities. */
public final class Majority {

  /** This class is not instantiated. */
  private Majority() {}

  /**
   * Returns the size of a majority.
   *
   * @param total The number of all voters.
   * @return The smallest number that is more than half.
   */
  public static int of(int total) {
    return total / 2 + 1;
  }
}
