package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Sends the proxy's own requests to a member: probes, log position and status.
 *
 * <p>Each request has a timeout and calls its receiver exactly once, on the thread of the event
 * loop.
 */
public final class MemberRequests {

  private final MemberContext context;
  private final MemberConnectionPool pool;

  MemberRequests(MemberContext context, MemberConnectionPool pool) {
    this.context = context;
    this.pool = pool;
  }

  /**
   * Probes whether the member responds to this process directly and does not deny to be the
   * primary.
   *
   * <p>If the member counts as unreachable, the probe only checks whether it accepts a connection.
   *
   * @param result Receives the result, {@code false} if the member did not respond in time.
   */
  public void probe(long timeoutMillis, Consumer<Boolean> result) {
    if (pool.isDirectlyReachable()) {
      requestPosition(
          pool::borrowDirectly,
          timeoutMillis,
          response -> result.accept(response.filter(MemberRequests::allowsPrimary).isPresent()));
      return;
    }
    pool.reconnect();
    context.loop().scheduleTimeout(timeoutMillis, () -> result.accept(pool.isDirectlyReachable()));
  }

  /**
   * Requests the member's log position by an empty transaction that only a primary begins.
   *
   * @param result Receives the response, empty if none arrived in time; a member that is not the
   *     primary responds with a failure.
   */
  public void requestPosition(long timeoutMillis, Consumer<Optional<MemberResponse>> result) {
    requestPosition(pool::borrow, timeoutMillis, result);
  }

  private void requestPosition(
      Consumer<Borrower> lender, long timeoutMillis, Consumer<Optional<MemberResponse>> result) {
    new InternalRequest(
            context.loop(),
            pool,
            lender,
            (connection, receiver) -> connection.begin(false, Optional.empty(), receiver),
            result)
        .start(timeoutMillis);
  }

  /**
   * Sends a command to the member.
   *
   * @param timeoutMillis The time to respond, in milliseconds.
   * @param result Receives the member's status after the command, empty if the member did not
   *     respond in time, reported a failure or sent a malformed report.
   */
  public void command(
      MemberCommand command, long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    send(pool::borrow, command, timeoutMillis, result);
  }

  /**
   * Sends a command to the member over a connection that is opened for it, also if the member
   * counts as unreachable.
   *
   * @param timeoutMillis The time to open the connection and to respond, in milliseconds.
   * @param result Receives the member's status as for {@link #command}.
   */
  public void commandOverNewConnection(
      MemberCommand command, long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    send(pool::borrowNew, command, timeoutMillis, result);
  }

  private void send(
      Consumer<Borrower> lender,
      MemberCommand command,
      long timeoutMillis,
      Consumer<Optional<MemberStatusReport>> result) {
    new InternalRequest(
            context.loop(),
            pool,
            lender,
            (connection, receiver) -> connection.command(command, receiver),
            response -> {
              if (isUnknownCommand(command, response)) {
                send(lender, new MemberCommand.ReportStatus(), timeoutMillis, result);
              } else {
                result.accept(response.flatMap(this::toReport));
              }
            })
        .start(timeoutMillis);
  }

  /**
   * Checks if the member does not know a command that stops or resumes replication: it responded
   * with something else than its status. Its plain status is requested then.
   */
  private boolean isUnknownCommand(MemberCommand command, Optional<MemberResponse> response) {
    return switch (command) {
      case MemberCommand.Pause ignored -> response.map(this::isNoStatus).orElse(false);
      case MemberCommand.Resume ignored -> response.map(this::isNoStatus).orElse(false);
      case MemberCommand.ReportStatus ignored -> false;
      case MemberCommand.StepDown ignored -> false;
    };
  }

  private boolean isNoStatus(MemberResponse response) {
    return switch (response) {
      case MemberResponse.Done ignored -> toReport(response).isEmpty();
      case MemberResponse.Failed failed -> failed.kind() == FailureKind.MALFORMED;
      case MemberResponse.Lost ignored -> false;
    };
  }

  private Optional<MemberStatusReport> toReport(MemberResponse response) {
    return response instanceof MemberResponse.Done done
        ? done.rows().stream().findFirst().flatMap(context.wireFormat()::parseStatus)
        : Optional.empty();
  }

  /** Returns {@code false} if the member responded that it is not the primary. */
  private static boolean allowsPrimary(MemberResponse response) {
    return !(response instanceof MemberResponse.Failed failed
        && failed.kind() == FailureKind.NOT_PRIMARY);
  }
}
