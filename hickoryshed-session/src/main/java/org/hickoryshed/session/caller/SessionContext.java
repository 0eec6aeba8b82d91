package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;

/** What a session needs of the process that serves it. */
public interface SessionContext {

  /**
   * Returns the event loop.
   *
   * @return The event loop.
   */
  EventLoop loop();

  /**
   * Returns the format of the messages.
   *
   * @return The format.
   */
  WireFormat wireFormat();

  /**
   * Returns the log.
   *
   * @return The log.
   */
  EventLog log();

  /**
   * Returns the metrics.
   *
   * @return The metrics.
   */
  Metrics metrics();

  /**
   * Returns the desired state in force.
   *
   * @return The desired state.
   */
  DesiredState desired();

  /**
   * Finds the database of a route.
   *
   * @param route The route.
   * @return The database or an empty optional if its pool has no members.
   */
  Optional<Database> database(DatabaseRoute route);

  /**
   * Handles the end of a session.
   *
   * @param session The session.
   */
  void onSessionEnded(CallerSession session);
}
