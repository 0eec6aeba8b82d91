package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickoryshed.session.net.EventLoop;

/**
 * A request that this proxy itself sends to a member, with a timeout.
 *
 * <p>It borrows a connection ahead of the statements of callers, sends one message and releases the
 * connection. The receiver of the result is called exactly once.
 */
final class InternalRequest implements Borrower {

  /** Precedes the priorities of callers' statements, which start at zero. */
  private static final int INTERNAL_PRIORITY = -1;

  private final EventLoop loop;
  private final MemberConnectionPool pool;
  private final Consumer<Borrower> lender;
  private final BiConsumer<MemberConnection, Consumer<MemberResponse>> request;
  private final Consumer<Optional<MemberResponse>> result;
  private boolean finished;

  private Optional<EventLoop.Timer> timeout = Optional.empty();

  /** The connection, empty until one is lent. */
  private Optional<MemberConnection> connection = Optional.empty();

  /**
   * Creates a request, which is sent by {@link #start}.
   *
   * @param lender Lends a connection to the member.
   * @param request Sends the request on a connection and passes its response to a receiver.
   * @param result Receives the response, empty if none arrived in time.
   */
  InternalRequest(
      EventLoop loop,
      MemberConnectionPool pool,
      Consumer<Borrower> lender,
      BiConsumer<MemberConnection, Consumer<MemberResponse>> request,
      Consumer<Optional<MemberResponse>> result) {
    this.loop = loop;
    this.pool = pool;
    this.lender = lender;
    this.request = request;
    this.result = result;
  }

  /** Borrows a connection and sends the request; the timeout covers both. */
  void start(long timeoutMillis) {
    timeout = Optional.of(loop.scheduleTimeout(timeoutMillis, () -> finish(Optional.empty())));
    lender.accept(this);
  }

  @Override
  public int priority() {
    return INTERNAL_PRIORITY;
  }

  @Override
  public Optional<String> workspace() {
    return Optional.empty();
  }

  @Override
  public SessionState session() {
    return new SessionState();
  }

  @Override
  public void onConnection(MemberConnection lent) {
    connection = Optional.of(lent);
    request.accept(lent, this::onResponse);
  }

  @Override
  public void onUnavailable() {
    finish(Optional.empty());
  }

  private void onResponse(MemberResponse response) {
    finish(response instanceof MemberResponse.Lost ? Optional.empty() : Optional.of(response));
  }

  /** Passes on the first result and releases the connection, or stops waiting for one. */
  private void finish(Optional<MemberResponse> response) {
    if (finished) {
      return;
    }
    finished = true;
    timeout.ifPresent(EventLoop.Timer::cancel);
    if (connection.isPresent()) {
      connection.get().release();
    } else {
      pool.cancel(this);
    }
    result.accept(response);
  }
}
