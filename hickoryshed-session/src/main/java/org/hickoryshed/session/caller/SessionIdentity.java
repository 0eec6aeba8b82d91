package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.workspace.SessionAdmission;

/**
 * What a session has opened, and for whom.
 *
 * @param database The name of the database.
 * @param key The key that the caller gave, empty if it gave none; it is secret.
 * @param workspace The workspace that held the key when the session was opened, empty if the
 *     session needed no key.
 */
record SessionIdentity(String database, Optional<String> key, Optional<String> workspace) {

  /** Decides if the session may still use its database. */
  SessionAdmission admission(DesiredState desired) {
    return SessionAdmission.of(desired, database, key);
  }

  /** Returns a text for logs, without the key. */
  @Override
  public String toString() {
    return "SessionIdentity[database=%s, workspace=%s]".formatted(database, workspace);
  }
}
