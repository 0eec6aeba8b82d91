package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.session.net.EventLoop;

/** The timer of one attempt to run a statement, or of the pause before the next one. */
final class AttemptTimer {

  /** The loop. */
  private final EventLoop loop;

  /** What ends an attempt that takes too long. */
  private final Runnable timeout;

  /** The running timer. */
  private Optional<EventLoop.Timer> timer = Optional.empty();

  /** The reading of the steady clock when the attempt began, in nanoseconds. */
  private long started;

  /**
   * Creates a timer that does not run.
   *
   * @param loop The loop.
   * @param timeout What ends an attempt that takes too long.
   */
  AttemptTimer(EventLoop loop, Runnable timeout) {
    this.loop = loop;
    this.timeout = timeout;
  }

  /**
   * Starts the time of an attempt.
   *
   * @param millis The longest time of the attempt in milliseconds.
   */
  void start(long millis) {
    started = loop.now();
    pause(millis, timeout);
  }

  /**
   * Runs an action after a pause.
   *
   * @param millis The pause in milliseconds.
   * @param action The action.
   */
  void pause(long millis, Runnable action) {
    cancel();
    timer = Optional.of(loop.schedule(millis, action));
  }

  /** Cancels the timer. */
  void cancel() {
    timer.ifPresent(EventLoop.Timer::cancel);
    timer = Optional.empty();
  }

  /**
   * Returns the reading of the steady clock when the attempt began.
   *
   * @return The reading in nanoseconds.
   */
  long started() {
    return started;
  }
}
