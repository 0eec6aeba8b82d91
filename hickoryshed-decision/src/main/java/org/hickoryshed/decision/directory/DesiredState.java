package org.hickoryshed.decision.directory;

import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.workspace.Workspaces;

/**
 * One version of the configuration that the operator requests.
 *
 * @param version The version, which only increases.
 * @param routes The routes by the name of their database.
 * @param pools The pools by name.
 * @param transactionIdleMillis The idle time in milliseconds after which a transaction may be
 *     ended.
 * @param workspaces The workspaces and their keys.
 */
public record DesiredState(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, PoolEntry> pools,
    long transactionIdleMillis,
    Workspaces workspaces) {

  /** The state before any version was received, without routes and pools. */
  public static final DesiredState NONE = new DesiredState(0, Map.of(), Map.of(), 3000);

  /** Creates a version without workspaces. */
  public DesiredState(
      long version,
      Map<String, DatabaseRoute> routes,
      Map<String, PoolEntry> pools,
      long transactionIdleMillis) {
    this(version, routes, pools, transactionIdleMillis, Workspaces.UNUSED);
  }

  /**
   * Finds the route of a database.
   *
   * @param database The name of the database.
   * @return The route, empty if the database has none.
   */
  public Optional<DatabaseRoute> route(String database) {
    return Optional.ofNullable(routes.get(database));
  }

  /**
   * Checks whether the primary of any pool waits for replicas before it acknowledges a commit.
   *
   * @return {@code true} if there is such a pool.
   */
  public boolean hasConfirmingReplicas() {
    return pools.values().stream().anyMatch(pool -> pool.confirmingReplicas() > 0);
  }

  /**
   * Checks whether this state supersedes another one.
   *
   * @param other The other state.
   * @return {@code true} if the version of this state is higher.
   */
  public boolean isNewerThan(DesiredState other) {
    return version > other.version;
  }

  /**
   * A pool, which here consists of one group of members.
   *
   * @param name The name of the pool.
   * @param connections The maximum number of connections to one member from all VMs together.
   * @param confirmingReplicas The number of replicas that hold a commit before it is acknowledged.
   */
  public record PoolEntry(String name, int connections, int confirmingReplicas) {}
}
