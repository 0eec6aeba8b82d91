package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickoryshed.session.net.EventLoop;

/** A statement of this proxy to a member, with a bound on its time. */
final class InternalRequest implements Borrower {

  /** The priority before all statements of callers. */
  private static final int FIRST = -1;

  /** The loop. */
  private final EventLoop loop;

  /** The pool of the member. */
  private final MemberPool pool;

  /** Lends a connection to the member. */
  private final Consumer<Borrower> lender;

  /** Sends the statement on a connection and hands its answer to a receiver. */
  private final BiConsumer<MemberConnection, Consumer<MemberResponse>> request;

  /** The receiver of the answer, empty if none came in time. */
  private final Consumer<Optional<MemberResponse>> result;

  /** True once the result was given. */
  private boolean finished;

  /** The connection, once one is lent. */
  private Optional<MemberConnection> connection = Optional.empty();

  /**
   * Creates a new errand.
   *
   * @param loop The loop.
   * @param pool The pool of the member.
   * @param lender Lends a connection to the member.
   * @param request Sends the statement on a connection and hands its answer to a receiver.
   * @param result The receiver of the answer, empty if none came in time.
   */
  InternalRequest(
      EventLoop loop,
      MemberPool pool,
      Consumer<Borrower> lender,
      BiConsumer<MemberConnection, Consumer<MemberResponse>> request,
      Consumer<Optional<MemberResponse>> result) {
    this.loop = loop;
    this.pool = pool;
    this.lender = lender;
    this.request = request;
    this.result = result;
  }

  /**
   * Starts this errand.
   *
   * @param timeoutMillis The longest time to wait in milliseconds.
   */
  void start(long timeoutMillis) {
    loop.schedule(timeoutMillis, () -> finish(Optional.empty()));
    lender.accept(this);
  }

  @Override
  public int priority() {
    return FIRST;
  }

  @Override
  public SessionState session() {
    return new SessionState();
  }

  @Override
  public void onConnection(MemberConnection lent) {
    connection = Optional.of(lent);
    request.accept(lent, this::onAnswer);
  }

  @Override
  public void onUnavailable() {
    finish(Optional.empty());
  }

  /**
   * Handles the answer.
   *
   * @param answer The answer.
   */
  private void onAnswer(MemberResponse answer) {
    finish(answer instanceof MemberResponse.Lost ? Optional.empty() : Optional.of(answer));
  }

  /**
   * Gives the result once.
   *
   * @param answer The answer, empty if none came in time.
   */
  private void finish(Optional<MemberResponse> answer) {
    if (finished) {
      return;
    }
    finished = true;
    if (connection.isPresent()) {
      connection.get().release();
    } else {
      pool.cancel(this);
    }
    result.accept(answer);
  }
}
