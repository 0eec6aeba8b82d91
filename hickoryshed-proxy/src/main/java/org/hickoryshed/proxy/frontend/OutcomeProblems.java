package org.hickoryshed.proxy.frontend;

import java.util.Locale;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/** The problem details of outcomes. */
final class OutcomeProblems {

  /** This class is not instantiated. */
  private OutcomeProblems() {}

  /**
   * Describes a request that did not run.
   *
   * @param outcome The outcome.
   * @return The problem details.
   */
  static Problem of(Outcome.NotRun outcome) {
    int status =
        switch (outcome.reason()) {
          case REJECTED -> 422;
          case NO_TRANSACTION, CANCELLED -> 409;
          default -> 503;
        };
    return Problem.notRun(type(outcome.reason()), status, outcome.detail());
  }

  /**
   * Describes a request that may have run.
   *
   * @param outcome The outcome.
   * @return The problem details.
   */
  static Problem of(Outcome.Unknown outcome) {
    return Problem.unknown(type(outcome.reason()), 504, outcome.detail());
  }

  /**
   * Returns the type of the problem of a reason.
   *
   * @param reason The reason.
   * @return The type.
   */
  private static String type(Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
