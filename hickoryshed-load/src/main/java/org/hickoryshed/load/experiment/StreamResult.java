package org.hickoryshed.load.experiment;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hickoryshed.load.caller.Caller;

/** The recorded result of one stream under one variant. */
public final class StreamResult {

  /** The longest recorded latency in microseconds. */
  private static final long LONGEST = 60_000_000;

  /** The microseconds of a millisecond. */
  private static final double MILLISECOND = 1000;

  /** The latencies of requests that are done, in microseconds from their intended start. */
  private final Histogram latencies = new Histogram(LONGEST, 3);

  /** The numbers of requests by outcome. */
  private final Map<String, Integer> outcomes = new HashMap<>();

  /** The numbers of requests done in each second. */
  private final Map<Long, Integer> donePerSecond = new HashMap<>();

  /** The times in milliseconds of the latest success by group of members. */
  private final Map<String, Long> lastSuccess = new HashMap<>();

  /** The longest times in milliseconds between two successes by group of members. */
  private final Map<String, Long> gaps = new HashMap<>();

  /** The number of answers of replicas. */
  private int byReplica;

  /**
   * Records an answer.
   *
   * @param answer The answer.
   * @param latencyMicros The time since the intended start in microseconds.
   * @param elapsedMillis The time since the start of the measurement in milliseconds.
   */
  synchronized void record(Caller.Answer answer, long latencyMicros, long elapsedMillis) {
    outcomes.merge(answer.outcome(), 1, Integer::sum);
    if (!answer.isDone()) {
      return;
    }
    latencies.recordValue(Math.min(LONGEST, latencyMicros));
    donePerSecond.merge(elapsedMillis / 1000, 1, Integer::sum);
    byReplica += answer.isByReplica() ? 1 : 0;
    int end = answer.member().lastIndexOf('-');
    String database = end < 0 ? answer.member() : answer.member().substring(0, end);
    Long before = lastSuccess.put(database, elapsedMillis);
    if (before != null) {
      gaps.merge(database, elapsedMillis - before, Math::max);
    }
  }

  /**
   * Summarizes this result.
   *
   * @return The figures.
   */
  synchronized Figures figures() {
    int done = outcomes.getOrDefault("done", 0);
    return new Figures(
        done,
        outcomes.getOrDefault("not-run", 0),
        outcomes.getOrDefault("unknown", 0),
        latencies.getValueAtPercentile(50) / MILLISECOND,
        latencies.getValueAtPercentile(99) / MILLISECOND,
        done == 0 ? 0 : (double) byReplica / done,
        Map.copyOf(donePerSecond),
        Map.copyOf(gaps));
  }

  /**
   * The figures of one stream under one variant.
   *
   * @param done The number of requests that are done.
   * @param notRun The number of requests that did not run.
   * @param unknown The number of requests whose outcome is unknown.
   * @param p50Millis The median latency in milliseconds.
   * @param p99Millis The 99th percentile of the latency in milliseconds.
   * @param replicaShare The share of answers that came from replicas.
   * @param donePerSecond The numbers of requests done in each second.
   * @param gapMillis The longest times in milliseconds between two successes by database.
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
