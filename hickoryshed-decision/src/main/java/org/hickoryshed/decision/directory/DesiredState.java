package org.hickoryshed.decision.directory;

import java.util.Map;
import java.util.Optional;

/**
 * One version of what the operator asks for.
 *
 * @param version The version, which only rises.
 * @param routes The routes by the name of their database.
 * @param pools The pools by their name.
 * @param transactionIdleMillis The idle time after which a transaction may be ended, in
 *     milliseconds.
 */
public record DesiredState(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, PoolEntry> pools,
    long transactionIdleMillis) {

  /** The state before any version is known. */
  public static final DesiredState NONE = new DesiredState(0, Map.of(), Map.of(), 3000);

  /**
   * Finds the route of a database.
   *
   * @param database The name of the database.
   * @return The route or an empty optional if no route has that name.
   */
  public Optional<DatabaseRoute> route(String database) {
    return Optional.ofNullable(routes.get(database));
  }

  /**
   * Checks if this state is newer than another one.
   *
   * @param other The other state.
   * @return {@code true} if this state is to be followed instead of the other one.
   */
  public boolean isNewerThan(DesiredState other) {
    return version > other.version;
  }

  /**
   * A pool of one group of members.
   *
   * @param name The name of the pool.
   * @param connections The highest number of connections to one member from all VMs.
   * @param confirmingReplicas The number of replicas that hold a commit when it is acknowledged.
   */
  public record PoolEntry(String name, int connections, int confirmingReplicas) {}
}
