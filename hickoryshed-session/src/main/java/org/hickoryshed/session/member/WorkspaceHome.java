package org.hickoryshed.session.member;

import java.util.Optional;
import org.hickoryshed.decision.sharing.WorkspaceAffinity;

/**
 * Tells at which members of a database a workspace probably has an open connection, at this proxy
 * or at the one that holds the connections to the member.
 */
public final class WorkspaceHome {

  /**
   * What a new connection costs a read, about as much as a statement that runs before it, in
   * nanoseconds.
   */
  private static final double NEW_CONNECTION_NANOS = 15_000_000;

  private final Optional<String> workspace;

  private final Optional<String> primary;

  private final Optional<String> home;

  /**
   * Finds the home of a workspace among the usable replicas of a database.
   *
   * @param workspace The workspace, empty for statements without one, which have no home.
   * @param database The database.
   */
  public WorkspaceHome(Optional<String> workspace, Database database) {
    this.workspace = workspace;
    primary = database.primary().map(pool -> pool.entry().id());
    home =
        workspace.flatMap(
            name ->
                WorkspaceAffinity.homeOf(
                    name,
                    database.connectionPools().stream()
                        .filter(MemberConnectionPool::isUsable)
                        .map(pool -> pool.entry().id())
                        .filter(id -> !primary.equals(Optional.of(id)))
                        .toList()));
  }

  /**
   * Checks if a connection of the workspace to a member is probably open.
   *
   * @param pool The connections to the member.
   * @return {@code true} also for statements without a workspace.
   */
  public boolean hasConnection(MemberConnectionPool pool) {
    Optional<String> id = Optional.of(pool.entry().id());
    return workspace.isEmpty() || id.equals(primary) || id.equals(home);
  }

  /** Returns what opening a connection to a member would cost, zero if one is probably open. */
  double connectionCostNanos(MemberConnectionPool pool) {
    return hasConnection(pool) ? 0 : NEW_CONNECTION_NANOS;
  }
}
