package org.hickoryshed.load.experiment;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hickoryshed.load.caller.Caller;

/**
 * The result of one stream under one variant. Thread-safe; a histogram collects the latencies while
 * the stream runs.
 */
public final class StreamResult {

  /** The longest latency in microseconds that is told apart; longer ones count as this. */
  private static final long MAXIMUM_MICROS = 60_000_000;

  private static final double MICROS_PER_MILLI = 1000;

  /**
   * The latencies of successful requests in microseconds. They count from the intended start of a
   * request, so that a delay of the tool itself does not hide waiting time (coordinated omission).
   */
  private final Histogram latencies = new Histogram(MAXIMUM_MICROS, 3);

  /** The number of requests by outcome. */
  private final Map<String, Integer> outcomes = new HashMap<>();

  /** The number of successful requests by second of the measurement. */
  private final Map<Long, Integer> donePerSecond = new HashMap<>();

  /** The time in milliseconds of the latest success by database. */
  private final Map<String, Long> lastSuccess = new HashMap<>();

  /** The longest time in milliseconds between two successes by database. */
  private final Map<String, Long> gaps = new HashMap<>();

  /** The number of successful requests that replicas executed. */
  private int byReplica;

  /**
   * Records the answer to a request.
   *
   * @param answer The answer.
   * @param latencyMicros The time since the intended start of the request in microseconds.
   * @param elapsedMillis The time since the start of the measurement in milliseconds.
   */
  synchronized void record(Caller.Answer answer, long latencyMicros, long elapsedMillis) {
    outcomes.merge(answer.outcome(), 1, Integer::sum);
    if (!answer.isDone()) {
      return;
    }
    latencies.recordValue(Math.min(MAXIMUM_MICROS, latencyMicros));
    donePerSecond.merge(elapsedMillis / 1000, 1, Integer::sum);
    byReplica += answer.isByReplica() ? 1 : 0;
    int end = answer.member().lastIndexOf('-');
    String database = end < 0 ? answer.member() : answer.member().substring(0, end);
    Long before = lastSuccess.put(database, elapsedMillis);
    if (before != null) {
      gaps.merge(database, elapsedMillis - before, Math::max);
    }
  }

  /** Returns a summary of what was recorded so far. */
  synchronized Figures figures() {
    int done = outcomes.getOrDefault("done", 0);
    return new Figures(
        done,
        outcomes.getOrDefault("not-run", 0),
        outcomes.getOrDefault("unknown", 0),
        latencies.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencies.getValueAtPercentile(99) / MICROS_PER_MILLI,
        done == 0 ? 0 : (double) byReplica / done,
        Map.copyOf(donePerSecond),
        Map.copyOf(gaps));
  }

  /**
   * The summary of one stream under one variant, written as JSON.
   *
   * @param done The number of successful requests.
   * @param notRun The number of requests that were not executed.
   * @param unknown The number of requests with an unknown outcome.
   * @param p50Millis The median latency of successful requests in milliseconds.
   * @param p99Millis The 99th percentile of the latency of successful requests in milliseconds.
   * @param replicaShare The share of successful requests that replicas executed, from 0 to 1.
   * @param donePerSecond The number of successful requests by second of the measurement.
   * @param gapMillis The longest time in milliseconds between two successes by database.
   */
  public record Figures(
      int done,
      int notRun,
      int unknown,
      double p50Millis,
      double p99Millis,
      double replicaShare,
      Map<Long, Integer> donePerSecond,
      Map<String, Long> gapMillis) {}
}
