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
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.EventLoop;

/** A connection to a member that another proxy lends to this one. */
final class RelayedConnection implements MemberConnection {

  /** The loop that owns the link. */
  private final EventLoop loop;

  /** The link to the lending proxy. */
  private final RelayBorrowerLink link;

  /** The number of the loan. */
  private final long loan;

  /** The pool of the member. */
  private final MemberPool pool;

  /** The statements whose answers are outstanding, in the order in which they were sent. */
  private final Deque<Outstanding> outstanding = new ArrayDeque<>();

  /** The values that the lending proxy knows of. */
  private Map<String, String> statedValues = Map.of();

  /** True if a statement was not answered in time. */
  private boolean timedOut;

  /** True once the loan has ended. */
  private boolean closed;

  /**
   * Creates a connection that was lent.
   *
   * @param loop The loop that owns the link.
   * @param link The link to the lending proxy.
   * @param loan The number of the loan.
   * @param pool The pool of the member.
   */
  RelayedConnection(EventLoop loop, RelayBorrowerLink link, long loan, MemberPool pool) {
    this.loop = loop;
    this.link = link;
    this.loan = loan;
    this.pool = pool;
  }

  @Override
  public MemberPool pool() {
    return pool;
  }

  @Override
  public boolean isClosed() {
    return closed;
  }

  @Override
  public void applySession(SessionState session) {
    if (!statedValues.equals(session.values())) {
      statedValues = Map.copyOf(session.values());
      link.send(new RelayMessage.Values(loan, session.values()));
    }
  }

  @Override
  public void prepare(Statement.Shape shape) {
    link.send(new RelayMessage.Prepare(loan, shape));
  }

  @Override
  public void begin(
      boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    request(new RelayMessage.Begin(loan, readOnly, required), receiver);
  }

  @Override
  public void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver) {
    request(new RelayMessage.Forward(loan, id, required, text), receiver);
  }

  @Override
  public void execute(
      String id,
      Optional<LogPosition> required,
      Statement.Shape shape,
      String arguments,
      Consumer<MemberResponse> receiver) {
    request(new RelayMessage.Execute(loan, id, required, shape, arguments), receiver);
  }

  @Override
  public void askStatus(Consumer<MemberResponse> receiver) {
    request(new RelayMessage.AskStatus(loan), receiver);
  }

  @Override
  public void rollback() {
    link.send(new RelayMessage.Rollback(loan));
  }

  @Override
  public void noteTimeout(long since) {
    timedOut = true;
  }

  @Override
  public void release() {
    if (!closed) {
      closed = true;
      outstanding.clear();
      link.finish(loan, new RelayMessage.Release(loan, timedOut));
    }
  }

  @Override
  public void abort(String reason) {
    if (!closed) {
      link.finish(loan, new RelayMessage.Abort(loan, reason));
      onEnded(reason);
    }
  }

  /**
   * Checks if answers are outstanding.
   *
   * @return {@code true} if the lending proxy owes an answer.
   */
  boolean isWaiting() {
    return !outstanding.isEmpty();
  }

  /**
   * Handles an answer.
   *
   * @param answer The answer.
   */
  void onAnswer(RelayMessage.ToBorrower answer) {
    Outstanding next = outstanding.poll();
    if (next == null) {
      return;
    }
    if (!(answer instanceof RelayMessage.Lost)) {
      pool.onResponse(loop.now() - next.asked.steadyNanos());
    }
    next.receiver.accept(
        switch (answer) {
          case RelayMessage.Done done -> {
            done.position().ifPresent(pool::onPosition);
            yield new MemberResponse.Done(
                done.rows(), done.proof(), done.state(), done.position(), next.asked);
          }
          case RelayMessage.Failed failed ->
              new MemberResponse.Failed(failed.kind(), failed.text(), failed.state());
          case RelayMessage.Lost lost -> new MemberResponse.Lost(lost.reason());
          default -> throw new IllegalStateException("not an answer to a statement");
        });
  }

  /**
   * Handles the end of the loan; answers that are outstanding are lost.
   *
   * @param reason What happened.
   */
  void onEnded(String reason) {
    closed = true;
    for (Outstanding next = outstanding.poll(); next != null; next = outstanding.poll()) {
      next.receiver.accept(new MemberResponse.Lost(reason));
    }
  }

  /**
   * Sends a statement and expects its answer.
   *
   * @param message The statement.
   * @param receiver The receiver of the answer.
   */
  private void request(RelayMessage.ToLender message, Consumer<MemberResponse> receiver) {
    if (closed) {
      loop.schedule(0, () -> receiver.accept(new MemberResponse.Lost("the loan has ended")));
      return;
    }
    outstanding.add(new Outstanding(loop.readClocks(), receiver));
    link.send(message);
    link.watch();
  }

  /**
   * A statement whose answer is outstanding.
   *
   * @param asked The moment at which it was sent.
   * @param receiver The receiver of the answer.
   */
  private record Outstanding(ClockReading asked, Consumer<MemberResponse> receiver) {}
}
