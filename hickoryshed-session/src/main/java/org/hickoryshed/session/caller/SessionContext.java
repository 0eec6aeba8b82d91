package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.quota.WorkspaceQuota;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;

/**
 * The dependencies that all sessions of a process share.
 *
 * <p>Sessions call it on the event loop only.
 */
public interface SessionContext {

  /**
   * Returns the event loop that runs all sessions.
   *
   * @return The event loop.
   */
  EventLoop loop();

  /**
   * Returns the protocol that is spoken with callers and members.
   *
   * @return The wire format.
   */
  WireFormat wireFormat();

  /**
   * Returns the log of events.
   *
   * @return The log.
   */
  EventLog log();

  /**
   * Returns the registry of metrics.
   *
   * @return The metrics.
   */
  Metrics metrics();

  /**
   * Returns the desired state in force, with the routes of all databases.
   *
   * @return The desired state, with version zero until a first one is known.
   */
  DesiredState desired();

  /**
   * Returns the quotas of the workspaces.
   *
   * @return The quotas, which admit everything where nothing is limited.
   */
  WorkspaceQuota quota();

  /**
   * Finds the database that serves a route's pool.
   *
   * @param route The route.
   * @return The database, empty if the pool never had a member.
   */
  Optional<Database> database(DatabaseRoute route);

  /**
   * Called once when a session is closed, by whichever side.
   *
   * @param session The closed session.
   */
  void onSessionEnded(CallerSession session);
}
