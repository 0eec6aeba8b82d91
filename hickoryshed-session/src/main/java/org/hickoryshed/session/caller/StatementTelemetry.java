package org.hickoryshed.session.caller;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.eventlog.LogLine;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.MemberResponse;

/** What the log and the metrics tell about one statement. */
final class StatementTelemetry {

  /** The bits of the hash of an identifier that are zero for a logged success: one in 64. */
  private static final int SAMPLE_MASK = 63;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The process that serves the session. */
  private final SessionContext gateway;

  /** The statement. */
  private final StatementContext call;

  /** Why attempts failed. */
  private final Set<String> retryReasons = new HashSet<>();

  /** The member of the present attempt. */
  private Optional<MemberPool> member = Optional.empty();

  /** The position that the log of this member must hold. */
  private Optional<LogPosition> required = Optional.empty();

  /** The number of times that the statement was sent. */
  private int sent;

  /**
   * Creates a report.
   *
   * @param gateway The process that serves the session.
   * @param call The statement.
   */
  StatementTelemetry(SessionContext gateway, StatementContext call) {
    this.gateway = gateway;
    this.call = call;
  }

  /**
   * Notes the member of an attempt.
   *
   * @param chosen The member.
   * @param position The position that its log must hold, if any.
   */
  void chosen(MemberPool chosen, Optional<LogPosition> position) {
    member = Optional.of(chosen);
    required = position;
  }

  /** Notes that the statement is sent. */
  void sent() {
    sent++;
  }

  /**
   * Notes how long the statement waited for a connection.
   *
   * @param nanos The time in nanoseconds.
   */
  void waitedForConnection(long nanos) {
    gateway.metrics().duration("connection_wait", nanos);
  }

  /**
   * Logs that the statement is tried again, once for each reason.
   *
   * @param reason Why the attempt failed.
   */
  void retried(String reason) {
    if (retryReasons.add(reason)) {
      line("statement-retried").with("reason", reason).write();
      gateway
          .metrics()
          .counter("statement_retries", "freshness", call.route().freshness().name())
          .inc();
    }
  }

  /**
   * Notes a success; one in 64 is logged.
   *
   * @param done The answer.
   */
  void done(MemberResponse.Done done) {
    gateway.metrics().duration("member_answer", gateway.loop().now() - done.asked().steadyNanos());
    gateway
        .metrics()
        .counter("member_answers", "role", required.isPresent() ? "any" : "primary")
        .inc();
    ended("done");
    if ((call.request().id().hashCode() & SAMPLE_MASK) == 0) {
      line("statement-done").write();
    }
  }

  /**
   * Logs a failure.
   *
   * @param kind How the statement failed.
   * @param text A text for people.
   */
  void failed(FailureKind kind, String text) {
    ended(kind.name());
    line("statement-failed").with("kind", kind).with("text", text).write();
  }

  /**
   * Counts the outcome of the statement and the time that it took.
   *
   * @param outcome The outcome.
   */
  private void ended(String outcome) {
    gateway.metrics().counter("statements", "outcome", outcome).inc();
    String freshness = call.route().freshness().name().toLowerCase(Locale.ROOT);
    gateway.metrics().duration("statement_" + freshness, age());
  }

  /**
   * Returns the time since the statement arrived.
   *
   * @return The time in nanoseconds.
   */
  private long age() {
    return gateway.loop().now() - call.arrived().steadyNanos();
  }

  /**
   * Starts a line of the log about the statement.
   *
   * @param event The name of the event.
   * @return The line.
   */
  private LogLine line(String event) {
    return gateway
        .log()
        .event(event)
        .with("request", call.request().id())
        .with("database", call.route().database())
        .with("pool", call.route().pool())
        .with("access", call.access())
        .with("in-transaction", call.transaction().isPresent())
        .with("member", member.map(chosen -> chosen.entry().id()).orElse("none"))
        .with("entry-revision", member.map(chosen -> chosen.entry().revision()).orElse(0L))
        .with("required", required.map(LogPosition::toString).orElse("none"))
        .with("sent", sent)
        .with("waited-ms", age() / NANOS_IN_MILLI)
        .with("desired-version", gateway.desired().version());
  }
}
