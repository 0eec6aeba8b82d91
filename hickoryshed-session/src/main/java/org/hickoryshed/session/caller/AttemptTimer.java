package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.session.net.EventLoop;

/**
 * The timer of a statement's attempts, which runs either the timeout of the current attempt or the
 * pause before the next one.
 *
 * <p>Starting either of them cancels whichever was running. All methods are called on the event
 * loop.
 */
final class AttemptTimer {

  private final EventLoop loop;

  /** Runs when an attempt exceeds its time. */
  private final Runnable onTimeout;

  private Optional<EventLoop.Timer> timer = Optional.empty();

  private long startedNanos;

  /**
   * Creates a timer that is not running.
   *
   * @param loop The event loop that runs the actions.
   * @param onTimeout The action to run when an attempt exceeds its time.
   */
  AttemptTimer(EventLoop loop, Runnable onTimeout) {
    this.loop = loop;
    this.onTimeout = onTimeout;
  }

  /**
   * Starts an attempt and its timeout.
   *
   * @param timeoutMillis The longest time that the attempt may take, in milliseconds.
   */
  void startAttempt(long timeoutMillis) {
    startedNanos = loop.now();
    cancel();
    timer = Optional.of(loop.scheduleTimeout(timeoutMillis, onTimeout));
  }

  /**
   * Runs an action after a delay, in place of whatever this timer was running.
   *
   * @param delayMillis The delay in milliseconds.
   * @param action The action.
   */
  void schedule(long delayMillis, Runnable action) {
    cancel();
    timer = Optional.of(loop.schedule(delayMillis, action));
  }

  /** Cancels the running timeout or pause, if any. */
  void cancel() {
    timer.ifPresent(EventLoop.Timer::cancel);
    timer = Optional.empty();
  }

  /**
   * Returns when the last attempt with a timeout started.
   *
   * @return The monotonic clock's reading in nanoseconds.
   */
  long startedNanos() {
    return startedNanos;
  }
}
