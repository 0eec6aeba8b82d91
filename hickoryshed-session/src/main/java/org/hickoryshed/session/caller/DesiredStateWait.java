package org.hickoryshed.session.caller;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hickoryshed.decision.directory.DesiredState;

/**
 * Waits for the first desired state.
 *
 * <p>A process accepts sessions before it has received one. A session that still finds none at the
 * end of the wait is refused as overloaded, not as one of an unknown database.
 */
final class DesiredStateWait {

  /** The longest wait in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1500;

  /** The interval at which the desired state is looked at. */
  private static final long POLL_MILLIS = 20;

  private final SessionContext context;

  private final BooleanSupplier cancelled;

  private final Consumer<DesiredState> action;

  private final long deadlineNanos;

  private DesiredStateWait(
      SessionContext context, BooleanSupplier cancelled, Consumer<DesiredState> action) {
    this.context = context;
    this.cancelled = cancelled;
    this.action = action;
    deadlineNanos = context.loop().now() + TIMEOUT_MILLIS * 1_000_000;
  }

  /**
   * Runs an action once a desired state is known, now if possible.
   *
   * @param context What all sessions share.
   * @param cancelled Tells if the action is no longer wanted.
   * @param action Receives the desired state; its version is zero if none came in time.
   */
  static void start(
      SessionContext context, BooleanSupplier cancelled, Consumer<DesiredState> action) {
    new DesiredStateWait(context, cancelled, action).check();
  }

  private void check() {
    if (cancelled.getAsBoolean()) {
      return;
    }
    DesiredState desired = context.desired();
    if (desired.version() == 0 && context.loop().now() - deadlineNanos < 0) {
      context.loop().schedule(POLL_MILLIS, this::check);
    } else {
      action.accept(desired);
    }
  }
}
