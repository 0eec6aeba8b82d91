package org.hickoryshed.proxy.frontend;

import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/**
 * Decides after each attempt of one write whether to try again, and keeps the outcome of all
 * attempts.
 *
 * <p>An attempt that may have run makes the outcome unknown. Only a later attempt that is done or
 * was refused as {@link Reason#CANCELLED} resolves it; an attempt that did not run for another
 * reason shows nothing about the earlier one. {@code CANCELLED} settles the outcome because the log
 * records an idempotency key once: a key that is recorded as cancelled belongs to no write that
 * took effect, and later writes with it are refused.
 */
final class WriteRetryState {

  private final boolean repeatable;

  private Outcome outcome =
      new Outcome.NotRun(Reason.NO_PRIMARY, "no primary was found before the deadline");

  /**
   * Creates the state before the first attempt.
   *
   * @param repeatable {@code true} if the write may be sent again after an unknown outcome.
   */
  WriteRetryState(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /**
   * Records the outcome of an attempt.
   *
   * @return {@code true} if another attempt may be made.
   */
  boolean recordAttempt(Outcome latest) {
    return switch (latest) {
      case Outcome.Done done -> {
        outcome = done;
        yield false;
      }
      case Outcome.Unknown unknown -> {
        outcome = unknown;
        yield repeatable;
      }
      case Outcome.NotRun notRun when notRun.reason() == Reason.CANCELLED -> {
        outcome = notRun;
        yield false;
      }
      case Outcome.NotRun notRun -> {
        boolean unresolved = mayHaveRun();
        if (!unresolved) {
          outcome = notRun;
        }
        yield unresolved || isTransient(notRun.reason());
      }
    };
  }

  /** Checks if an attempt may have run and no later attempt has resolved its outcome. */
  boolean mayHaveRun() {
    return outcome instanceof Outcome.Unknown;
  }

  /** Returns the outcome of all attempts so far. */
  Outcome outcome() {
    return outcome;
  }

  /** Checks if another attempt may succeed, because another primary may be found. */
  private static boolean isTransient(Reason reason) {
    return switch (reason) {
      case NO_PRIMARY, NOT_PRIMARY, UNREACHABLE, NO_CONNECTION, NOT_SERVED, BEHIND -> true;
      default -> false;
    };
  }
}
