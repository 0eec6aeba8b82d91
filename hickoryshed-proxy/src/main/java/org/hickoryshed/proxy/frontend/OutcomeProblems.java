package org.hickoryshed.proxy.frontend;

import java.util.Locale;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/** Converts outcomes to the problem details of HTTP responses. */
final class OutcomeProblems {

  private OutcomeProblems() {}

  /**
   * Describes a request that did not run. The HTTP status is 422 if the database rejected it, 409
   * if its transaction or key has ended, 503 otherwise.
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

  /** Describes a request that may have run, with HTTP status 504. */
  static Problem of(Outcome.Unknown outcome) {
    return Problem.unknown(type(outcome.reason()), 504, outcome.detail());
  }

  /** Returns the problem type of a reason, such as {@code no-primary}. */
  private static String type(Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
