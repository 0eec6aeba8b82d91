package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.FailureKind;
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
   * Requests the member's status.
   *
   * @param result Receives the report, empty if the member did not respond in time, reported a
   *     failure or sent a malformed report.
   */
  public void requestStatus(long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    requestReport(pool::borrow, MemberConnection::requestStatus, timeoutMillis, result);
  }

  /**
   * Requests the member's status over a connection that is opened for it, also if the member counts
   * as unreachable.
   *
   * @param timeoutMillis The time to open the connection and to respond, in milliseconds.
   * @param result Receives the report as for {@link #requestStatus}.
   */
  public void requestStatusOverNewConnection(
      long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    requestReport(pool::borrowNew, MemberConnection::requestStatus, timeoutMillis, result);
  }

  /**
   * Requests that the member steps down if it is the primary of a lower term than the given one.
   *
   * @param result Receives the member's report, empty as for {@link #requestStatus}; the member has
   *     stepped down if the report says that it is not the primary.
   */
  public void requestStepDown(
      long term, long timeoutMillis, Consumer<Optional<MemberStatusReport>> result) {
    requestReport(
        pool::borrow,
        (connection, receiver) -> connection.requestStepDown(term, receiver),
        timeoutMillis,
        result);
  }

  private void requestReport(
      Consumer<Borrower> lender,
      BiConsumer<MemberConnection, Consumer<MemberResponse>> request,
      long timeoutMillis,
      Consumer<Optional<MemberStatusReport>> result) {
    new InternalRequest(
            context.loop(),
            pool,
            lender,
            request,
            response ->
                result.accept(
                    response
                        .filter(MemberResponse.Done.class::isInstance)
                        .map(MemberResponse.Done.class::cast)
                        .flatMap(done -> done.rows().stream().findFirst())
                        .flatMap(context.wireFormat()::parseStatus)))
        .start(timeoutMillis);
  }

  /** Returns {@code false} if the member responded that it is not the primary. */
  private static boolean allowsPrimary(MemberResponse response) {
    return !(response instanceof MemberResponse.Failed failed
        && failed.kind() == FailureKind.NOT_PRIMARY);
  }
}
