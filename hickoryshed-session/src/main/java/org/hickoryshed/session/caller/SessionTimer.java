package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.session.net.EventLoop;

/**
 * The timer of a session: closes it if its caller opens no database in time, and later rolls a
 * transaction back that the caller leaves idle for too long.
 */
final class SessionTimer {

  /** The time within which a caller must open a database, in milliseconds. */
  private static final long OPEN_TIMEOUT_MILLIS = 10_000;

  private final SessionContext context;

  private final CallerSession session;

  private Optional<EventLoop.Timer> timer = Optional.empty();

  SessionTimer(SessionContext context, CallerSession session) {
    this.context = context;
    this.session = session;
  }

  /** Starts to wait for the caller to open a database. */
  void awaitOpening() {
    start(OPEN_TIMEOUT_MILLIS, () -> session.close("no database was opened in time"));
  }

  /** Starts to count the idle time of a transaction, anew if it was counted already. */
  void restart() {
    start(context.desired().transactionIdleMillis(), this::onIdle);
  }

  /** Stops counting: a database is open, the caller sent a statement or the session has ended. */
  void cancel() {
    timer.ifPresent(EventLoop.Timer::cancel);
    timer = Optional.empty();
  }

  private void start(long delayMillis, Runnable action) {
    cancel();
    timer = Optional.of(context.loop().schedule(delayMillis, action));
  }

  private void onIdle() {
    if (!session.isBusy()) {
      session.rollBackUnasked("idle");
    }
  }
}
