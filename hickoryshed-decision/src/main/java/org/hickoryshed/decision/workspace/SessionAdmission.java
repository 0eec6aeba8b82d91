package org.hickoryshed.decision.workspace;

import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.statement.FailureKind;

/** Whether a session may use a database, and for which workspace. */
public sealed interface SessionAdmission {

  /**
   * The session may use the database.
   *
   * @param workspace The workspace that holds the key of the session, empty if the session needs no
   *     key.
   */
  record Admitted(Optional<String> workspace) implements SessionAdmission {}

  /**
   * The session may not use the database.
   *
   * @param kind Why.
   */
  record Refused(FailureKind kind) implements SessionAdmission {}

  /**
   * Decides on a session. A database without a route is unknown whatever the key. A key is only
   * looked at where workspaces are used and the route is not public.
   *
   * @param desired The desired state in force.
   * @param database The name of the database.
   * @param key The key of the caller, empty if it gave none.
   * @return The decision.
   */
  static SessionAdmission of(DesiredState desired, String database, Optional<String> key) {
    Optional<DatabaseRoute> route = desired.route(database);
    if (route.isEmpty()) {
      return new Refused(
          desired.version() == 0 ? FailureKind.OVERLOADED : FailureKind.UNKNOWN_DATABASE);
    }
    if (!desired.workspaces().areUsed() || route.get().isPublic()) {
      return new Admitted(Optional.empty());
    }
    return key.flatMap(desired.workspaces()::byKey)
        .<SessionAdmission>map(workspace -> new Admitted(Optional.of(workspace.name())))
        .orElse(new Refused(FailureKind.NOT_AUTHORIZED));
  }
}
