package org.hickoryshed.decision.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/** The learnt costs of work by its label. */
public final class CostEstimator {

  /** The number of labels that are remembered. */
  private static final int CAPACITY = 1024;

  /** The weight of the latest cost. */
  private static final double WEIGHT = 0.1;

  /** The cost in milliseconds of work that was never seen. */
  private static final double UNKNOWN_COST = 1;

  /** The mean costs in milliseconds by label, least recently used first. */
  private final Map<String, Double> means = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Learns the cost of work.
   *
   * @param label The label of the work.
   * @param cost The cost in milliseconds.
   */
  public void record(String label, double cost) {
    means.merge(label, cost, (mean, latest) -> mean + WEIGHT * (latest - mean));
    if (means.size() > CAPACITY) {
      means.remove(means.keySet().iterator().next());
    }
  }

  /**
   * Estimates the cost of work.
   *
   * @param label The label of the work.
   * @return The estimated cost in milliseconds.
   */
  public double estimate(String label) {
    return means.getOrDefault(label, UNKNOWN_COST);
  }
}
