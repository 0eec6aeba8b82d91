package org.hickoryshed.decision.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates how long work runs from the measured costs of earlier work with the same label.
 *
 * <p>A cost is a running time in milliseconds, without the time in the queue. A label names the
 * route and the statement of the work, see {@link Work}. The estimate is an exponential moving
 * average. Once the table is full, a new label replaces the least recently used one; recording a
 * cost and estimating the cost of a label in the table both count as a use. Not thread-safe.
 */
public final class CostEstimator {

  /** The maximum number of labels. */
  private static final int CAPACITY = 1024;

  /** The weight of the latest measurement in the moving average. */
  private static final double WEIGHT = 0.1;

  /** The estimate in milliseconds for a label without measurements. */
  private static final double UNKNOWN_COST = 1;

  /** The average costs in milliseconds by label, least recently used first. */
  private final Map<String, Double> averages = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Records a measured cost.
   *
   * @param label The label of the work.
   * @param cost The measured running time in milliseconds.
   */
  public void record(String label, double cost) {
    averages.merge(label, cost, (average, latest) -> average + WEIGHT * (latest - average));
    if (averages.size() > CAPACITY) {
      averages.remove(averages.keySet().iterator().next());
    }
  }

  /**
   * Estimates the cost of work.
   *
   * @param label The label of the work.
   * @return The estimated running time in milliseconds.
   */
  public double estimate(String label) {
    return averages.getOrDefault(label, UNKNOWN_COST);
  }
}
