package org.hickoryshed.session.quota;

import java.util.HashMap;
import java.util.Map;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Logs and counts what is decided on the quotas of workspaces.
 *
 * <p>The first refusal of a workspace is logged at once, further ones as a number at intervals
 * while they go on. The metrics name at most {@value #MAX_LABELS} workspaces, which were refused
 * first; the others are counted together.
 */
final class QuotaTelemetry {

  /** The number of workspaces that the metrics name. */
  private static final int MAX_LABELS = 100;

  /** The number of calls of {@link #tidy} between two log lines of a workspace. */
  private static final int LOG_INTERVAL = 10;

  private static final String OTHERS = "others";

  private final EventLog log;

  private final Metrics metrics;

  /** The refusals that go on, by workspace. */
  private final Map<String, Refusals> refusals = new HashMap<>();

  /** The names of workspaces that the metrics use. */
  private final Map<String, String> labels = new HashMap<>();

  QuotaTelemetry(EventLog log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /** Records an admitted operation and how long it waited for that, in nanoseconds. */
  void onAdmitted(long waitedNanos) {
    metrics.counter("quota_operations", "outcome", "admitted").inc();
    metrics.recordDuration("quota_wait", waitedNanos);
  }

  /** Records a refused operation. */
  void onRefused(String workspace, long retryAfterMillis) {
    metrics.counter("quota_operations", "outcome", "refused").inc();
    metrics.counter("operations_over_quota", "workspace", label(workspace)).inc();
    Refusals known = refusals.get(workspace);
    if (known == null) {
      known = new Refusals();
      refusals.put(workspace, known);
      log.event("quota-refused")
          .with("workspace", workspace)
          .with("retry-after-ms", retryAfterMillis)
          .write();
    }
    known.count++;
  }

  /** Records an operation that was given back. */
  void onGivenBack() {
    metrics.counter("quota_operations", "outcome", "given_back").inc();
  }

  /** Records a request for tokens that another proxy did not answer in time. */
  void onSilentHolder() {
    metrics.counter("quota_requests", "outcome", "silent").inc();
  }

  /** Records a request for tokens that was answered. */
  void onAnswer() {
    metrics.counter("quota_requests", "outcome", "answered").inc();
  }

  /** Logs the number of refusals of workspaces whose turn it is; called once a second. */
  void tidy() {
    refusals.entrySet().removeIf(entry -> isOver(entry.getKey(), entry.getValue()));
  }

  /** Logs the refusals of an interval; checks if it had none. */
  private boolean isOver(String workspace, Refusals known) {
    known.age++;
    if (known.age < LOG_INTERVAL) {
      return false;
    }
    if (known.count == 0) {
      return true;
    }
    log.event("quota-refusals").with("workspace", workspace).with("count", known.count).write();
    known.age = 0;
    known.count = 0;
    return false;
  }

  private String label(String workspace) {
    String known = labels.get(workspace);
    if (known != null) {
      return known;
    }
    if (labels.size() >= MAX_LABELS) {
      return OTHERS;
    }
    labels.put(workspace, workspace);
    return workspace;
  }

  /** The refusals of a workspace since the last log line about it. */
  private static final class Refusals {

    private long count;

    private int age;
  }
}
