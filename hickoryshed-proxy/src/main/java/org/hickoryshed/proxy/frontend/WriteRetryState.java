package org.hickoryshed.proxy.frontend;

import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/** What the attempts of one write add up to. */
final class WriteRetryState {

  /** True if the write may be sent again after an unknown outcome. */
  private final boolean repeatable;

  /** The outcome so far. */
  private Outcome outcome =
      new Outcome.NotRun(Reason.NO_PRIMARY, "no primary was found before the deadline");

  /**
   * Creates new attempts.
   *
   * @param repeatable {@code true} if the write may be sent again after an unknown outcome.
   */
  WriteRetryState(boolean repeatable) {
    this.repeatable = repeatable;
  }

  /**
   * Takes the outcome of an attempt.
   *
   * @param latest The outcome of the attempt.
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
        boolean earlier = mayHaveRun();
        if (!earlier) {
          outcome = notRun;
        }
        yield earlier || isPassing(notRun.reason());
      }
    };
  }

  /**
   * Checks if an attempt may have run.
   *
   * @return {@code true} if an attempt may have run and is not resolved yet.
   */
  boolean mayHaveRun() {
    return outcome instanceof Outcome.Unknown;
  }

  /**
   * Returns the outcome of all attempts.
   *
   * @return An earlier attempt that may have run keeps the outcome unknown until it is resolved.
   */
  Outcome outcome() {
    return outcome;
  }

  /**
   * Checks if a reason passes when another primary is found.
   *
   * @param reason The reason.
   * @return {@code true} if another attempt is promising.
   */
  private static boolean isPassing(Reason reason) {
    return switch (reason) {
      case NO_PRIMARY, NOT_PRIMARY, UNREACHABLE, NO_CONNECTION, NOT_SERVED, BEHIND -> true;
      default -> false;
    };
  }
}
