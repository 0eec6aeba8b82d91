package org.hickoryshed.session.caller;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.workspace.SessionAdmission;
import org.hickoryshed.session.wire.CallerMessage;

/** Decides whether a session may be opened, once a desired state is known. */
final class SessionOpening {

  private final SessionContext context;

  private final CallerMessage.Open message;

  private final Consumer<SessionIdentity> onOpened;

  private final BiConsumer<FailureKind, String> onRefused;

  private SessionOpening(
      SessionContext context,
      CallerMessage.Open message,
      Consumer<SessionIdentity> onOpened,
      BiConsumer<FailureKind, String> onRefused) {
    this.context = context;
    this.message = message;
    this.onOpened = onOpened;
    this.onRefused = onRefused;
  }

  /**
   * Decides now or as soon as a desired state is known.
   *
   * @param context What all sessions share.
   * @param cancelled Tells if the decision is no longer wanted.
   * @param message What the caller asks for.
   * @param onOpened Receives what was opened.
   * @param onRefused Receives why the session is refused, and a text for the caller.
   */
  static void start(
      SessionContext context,
      BooleanSupplier cancelled,
      CallerMessage.Open message,
      Consumer<SessionIdentity> onOpened,
      BiConsumer<FailureKind, String> onRefused) {
    SessionOpening opening = new SessionOpening(context, message, onOpened, onRefused);
    DesiredStateWait.start(context, cancelled, opening::decide);
  }

  private void decide(DesiredState desired) {
    switch (SessionAdmission.of(desired, message.database(), message.key())) {
      case SessionAdmission.Admitted(Optional<String> workspace) ->
          onOpened.accept(new SessionIdentity(message.database(), message.key(), workspace));
      case SessionAdmission.Refused(FailureKind kind) -> {
        context.metrics().counter("sessions_refused", "reason", kind.name()).inc();
        context
            .log()
            .event("session-refused")
            .with("database", message.database())
            .with("kind", kind)
            .with("desired-version", desired.version())
            .write();
        onRefused.accept(kind, message.database());
      }
    }
  }
}
