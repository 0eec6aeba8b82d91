package org.hickoryshed.session.caller;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.eventlog.LogLine;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberResponse;

/**
 * Writes the log lines and metrics of one statement.
 *
 * <p>Every failure is logged, a retry once for each reason, and a success only for a sample of the
 * statements.
 */
final class StatementTelemetry {

  /** A success is logged if these bits of the hash of its request identifier are zero: 1 in 64. */
  private static final int SAMPLE_MASK = 63;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SessionContext context;

  private final StatementContext statement;

  /** The reasons that were logged already. */
  private final Set<String> retryReasons = new HashSet<>();

  /** The member of the latest attempt, empty until one was selected. */
  private Optional<MemberConnectionPool> member = Optional.empty();

  /** The position that the member's log must hold, empty if it is used as the primary. */
  private Optional<LogPosition> required = Optional.empty();

  /** How often the statement was sent to a member. */
  private int sent;

  StatementTelemetry(SessionContext context, StatementContext statement) {
    this.context = context;
    this.statement = statement;
  }

  /**
   * Records the member that an attempt uses.
   *
   * @param selected The member.
   * @param position The position that its log must hold, empty if it is used as the primary.
   */
  void onMemberSelected(MemberConnectionPool selected, Optional<LogPosition> position) {
    member = Optional.of(selected);
    required = position;
  }

  /** Counts that the statement is sent to a member. */
  void onSent() {
    sent++;
  }

  /** Records how long an attempt waited for a connection to its member. */
  void recordConnectionWait(long nanos) {
    context.metrics().recordDuration("connection_wait", nanos);
  }

  /**
   * Logs and counts a retry, once for each reason.
   *
   * @param reason Why the attempt failed.
   */
  void onRetry(String reason) {
    if (retryReasons.add(reason)) {
      line("statement-retried").with("reason", reason).write();
      context
          .metrics()
          .counter("statement_retries", "freshness", statement.route().freshness().name())
          .inc();
    }
  }

  /** Counts a success and its durations; logs it if it belongs to the sample. */
  void onDone(MemberResponse.Done done) {
    context
        .metrics()
        .recordDuration("member_answer", context.loop().now() - done.sentAt().monotonicNanos());
    context
        .metrics()
        .counter("member_answers", "role", required.isPresent() ? "any" : "primary")
        .inc();
    recordOutcome("done");
    if ((statement.request().id().hashCode() & SAMPLE_MASK) == 0) {
      line("statement-done").write();
    }
  }

  /**
   * Counts and logs a failure.
   *
   * @param kind How the statement failed.
   * @param text The explanation that the caller receives.
   */
  void onFailed(FailureKind kind, String text) {
    recordOutcome(kind.name());
    line("statement-failed").with("kind", kind).with("text", text).write();
  }

  /** Counts the outcome and records how long the statement took from its arrival. */
  private void recordOutcome(String outcome) {
    context.metrics().counter("statements", "outcome", outcome).inc();
    String freshness = statement.route().freshness().name().toLowerCase(Locale.ROOT);
    context.metrics().recordDuration("statement_" + freshness, ageNanos());
  }

  private long ageNanos() {
    return context.loop().now() - statement.arrival().monotonicNanos();
  }

  /** Starts a log line with the fields that all events of a statement share. */
  private LogLine line(String event) {
    return context
        .log()
        .event(event)
        .with("request", statement.request().id())
        .with("database", statement.route().database())
        .with("pool", statement.route().pool())
        .with("access", statement.access())
        .with("in-transaction", statement.transaction().isPresent())
        .with("member", member.map(selected -> selected.entry().id()).orElse("none"))
        .with("entry-revision", member.map(selected -> selected.entry().revision()).orElse(0L))
        .with("required", required.map(LogPosition::toString).orElse("none"))
        .with("sent", sent)
        .with("waited-ms", ageNanos() / NANOS_PER_MILLI)
        .with("desired-version", context.desired().version());
  }
}
