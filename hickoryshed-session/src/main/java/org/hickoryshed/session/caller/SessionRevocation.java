package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.workspace.RevocationStep;
import org.hickoryshed.decision.workspace.SessionAdmission;

/**
 * Ends a session whose key no longer identifies the workspace for which it was opened.
 *
 * <p>A session whose route is gone is not ended by this: its statements are refused one by one, as
 * the route may come back.
 */
final class SessionRevocation {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SessionContext context;

  private final CallerSession session;

  /** When the withdrawal came into force here, empty while the key is valid. */
  private Optional<Long> sinceNanos = Optional.empty();

  SessionRevocation(SessionContext context, CallerSession session) {
    this.context = context;
    this.session = session;
  }

  /** Checks a session against the desired state in force; called for each new one. */
  void check(SessionIdentity identity) {
    boolean valid =
        switch (identity.admission(context.desired())) {
          case SessionAdmission.Admitted(Optional<String> workspace) ->
              workspace.equals(identity.workspace());
          case SessionAdmission.Refused(FailureKind kind) -> kind != FailureKind.NOT_AUTHORIZED;
        };
    if (valid) {
      sinceNanos = Optional.empty();
    } else if (sinceNanos.isEmpty()) {
      sinceNanos = Optional.of(context.loop().now());
      context
          .log()
          .event("key-withdrawn")
          .with("workspace", identity.workspace().orElse("none"))
          .with("database", identity.database())
          .with("state", session.transactionState())
          .with("desired-version", context.desired().version())
          .write();
      context
          .metrics()
          .counter("sessions_revoked", "state", session.transactionState().name())
          .inc();
      context.loop().schedule(RevocationStep.TRANSACTION_GRACE_MILLIS, this::advance);
      context.loop().schedule(RevocationStep.CLOSE_MILLIS, this::advance);
      advance();
    }
  }

  /**
   * Takes the next step; called after each statement as well.
   *
   * @return {@code true} if the session is closed now.
   */
  boolean advance() {
    if (sinceNanos.isEmpty()) {
      return false;
    }
    TransactionState state = session.transactionState();
    long elapsedMillis = (context.loop().now() - sinceNanos.get()) / NANOS_PER_MILLI;
    return switch (RevocationStep.of(
        session.isBusy(),
        state == TransactionState.OPEN,
        state == TransactionState.FAILED,
        elapsedMillis)) {
      case WAIT -> false;
      case ROLL_BACK -> {
        session.rollBackUnasked("key withdrawn");
        yield false;
      }
      case CLOSE -> {
        session.closeForWithdrawnKey();
        yield true;
      }
    };
  }
}
