package org.hickoryshed.session.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.MemberCommand;

/**
 * A connection to a member that another proxy lends to this one; relays each request over the link.
 *
 * <p>All methods run on the event loop.
 */
final class RelayedConnection implements MemberConnection {

  private final EventLoop loop;

  private final RelayBorrowerLink link;

  private final long loan;

  private final MemberConnectionPool pool;

  /**
   * The requests without a response yet, in the order in which they were sent; responses come in
   * the same order.
   */
  private final Deque<PendingRequest> pending = new ArrayDeque<>();

  /** The session values that were last sent to the lending proxy. */
  private Map<String, String> sentValues = Map.of();

  /** True if a statement got no response in time; the lending proxy is told on release. */
  private boolean timedOut;

  private boolean closed;

  /**
   * Creates a connection for a granted loan.
   *
   * @param loop The event loop that owns the link.
   * @param link The link to the lending proxy.
   * @param loan The number of the loan.
   * @param pool The pool of the member.
   */
  RelayedConnection(EventLoop loop, RelayBorrowerLink link, long loan, MemberConnectionPool pool) {
    this.loop = loop;
    this.link = link;
    this.loan = loan;
    this.pool = pool;
  }

  @Override
  public MemberConnectionPool pool() {
    return pool;
  }

  @Override
  public boolean isClosed() {
    return closed;
  }

  @Override
  public void applySession(SessionState session) {
    if (!sentValues.equals(session.values())) {
      sentValues = Map.copyOf(session.values());
      link.send(new RelayMessage.SessionValues(loan, session.values()));
    }
  }

  @Override
  public void prepare(Statement.Shape shape) {
    link.send(new RelayMessage.Prepare(loan, shape));
  }

  @Override
  public void begin(
      boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    request(
        new RelayMessage.Begin(loan, readOnly, required),
        required.isEmpty() ? receiver : pool.traffic().trackRelayed(required, receiver));
  }

  @Override
  public void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver) {
    request(
        new RelayMessage.Forward(loan, id, required, text),
        pool.traffic().trackRelayed(required, receiver));
  }

  @Override
  public void execute(
      String id,
      Optional<LogPosition> required,
      Statement.Shape shape,
      String arguments,
      Consumer<MemberResponse> receiver) {
    request(
        new RelayMessage.Execute(loan, id, required, shape, arguments),
        pool.traffic().trackRelayed(required, receiver));
  }

  @Override
  public void command(MemberCommand command, Consumer<MemberResponse> receiver) {
    request(new RelayMessage.Command(loan, command), receiver);
  }

  @Override
  public void rollback() {
    link.send(new RelayMessage.Rollback(loan));
  }

  @Override
  public void onStatementTimeout(long since) {
    timedOut = true;
  }

  @Override
  public void release() {
    if (!closed) {
      closed = true;
      pending.clear();
      link.endLoan(loan, new RelayMessage.Release(loan, timedOut));
    }
  }

  @Override
  public void abort(String reason) {
    if (!closed) {
      link.endLoan(loan, new RelayMessage.Abort(loan, reason));
      onEnded(reason);
    }
  }

  /** Checks if a response of the lending proxy is expected. */
  boolean isWaiting() {
    return !pending.isEmpty();
  }

  /** Handles the response to the oldest pending request; ignores it if there is none. */
  void onResponse(RelayMessage.ToBorrower response) {
    PendingRequest next = pending.poll();
    if (next == null) {
      return;
    }
    if (!(response instanceof RelayMessage.Lost)) {
      pool.onResponse(loop.now() - next.sentAt.monotonicNanos());
    }
    next.receiver.accept(
        switch (response) {
          case RelayMessage.Done done -> {
            done.position().ifPresent(pool::onPosition);
            yield new MemberResponse.Done(
                done.rows(), done.proof(), done.state(), done.position(), next.sentAt);
          }
          case RelayMessage.Failed failed ->
              new MemberResponse.Failed(failed.kind(), failed.text(), failed.state());
          case RelayMessage.Lost lost -> new MemberResponse.Lost(lost.reason());
          default -> throw new IllegalStateException("not a response to a statement");
        });
  }

  /**
   * Handles the end of the loan: reports each pending request as lost.
   *
   * @param reason Why the loan ended.
   */
  void onEnded(String reason) {
    closed = true;
    for (PendingRequest next = pending.poll(); next != null; next = pending.poll()) {
      next.receiver.accept(new MemberResponse.Lost(reason));
    }
  }

  /**
   * Sends a request that has a response. If the loan has ended, the receiver is told of the loss
   * later on the event loop, not within this call.
   */
  private void request(RelayMessage.ToLender message, Consumer<MemberResponse> receiver) {
    if (closed) {
      loop.schedule(0, () -> receiver.accept(new MemberResponse.Lost("the loan has ended")));
      return;
    }
    pending.add(new PendingRequest(loop.readClocks(), receiver));
    link.send(message);
    link.startChecks();
  }

  /**
   * A request whose response has not arrived.
   *
   * @param sentAt The clock readings when the request was sent.
   * @param receiver Receives the response.
   */
  private record PendingRequest(ClockReading sentAt, Consumer<MemberResponse> receiver) {}
}
