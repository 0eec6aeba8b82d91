package org.hickoryshed.decision.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;

/**
 * The tables of routes and pools as one versioned document. They share a document so that a single
 * conditional update validates and replaces them together.
 *
 * @param revision The revision, which only increases.
 * @param editId The identifier of the edit that created this revision.
 * @param routes The routes.
 * @param pools The pools.
 */
public record Configuration(long revision, String editId, List<Route> routes, List<Pool> pools) {

  /** The configuration before any was received. */
  public static final Configuration EMPTY = new Configuration(0, "", List.of(), List.of());

  /** Copies the lists. */
  public Configuration {
    routes = List.copyOf(routes);
    pools = List.copyOf(pools);
  }

  /**
   * Finds a route by its name.
   *
   * @param name The name of the route.
   * @return The route, empty if there is none of that name.
   */
  public Optional<Route> route(String name) {
    return routes.stream().filter(route -> route.name().equals(name)).findFirst();
  }

  /**
   * Finds a pool by its name.
   *
   * @param name The name of the pool.
   * @return The pool, empty if there is none of that name.
   */
  public Optional<Pool> pool(String name) {
    return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
  }

  /**
   * Returns the databases of all pools.
   *
   * @return The databases in the order of the pools.
   */
  @JsonIgnore
  public List<Database> databases() {
    return pools.stream().flatMap(pool -> pool.databases().stream()).toList();
  }

  /**
   * Finds a database of any pool by its name.
   *
   * @param name The name of the database.
   * @return The database, empty if there is none of that name.
   */
  public Optional<Database> database(String name) {
    return databases().stream().filter(database -> database.name().equals(name)).findFirst();
  }

  /**
   * Finds the pool that contains a database.
   *
   * @param database The name of the database.
   * @return The pool, empty if no pool contains a database of that name.
   */
  public Optional<Pool> poolOf(String database) {
    return pools.stream()
        .filter(
            pool ->
                pool.databases().stream().anyMatch(candidate -> candidate.name().equals(database)))
        .findFirst();
  }

  /**
   * Returns a copy with other tables and the next revision.
   *
   * @param edit The identifier of the edit.
   * @param newRoutes The new routes.
   * @param newPools The new pools.
   * @return The configuration of the next revision, not validated.
   */
  public Configuration edit(String edit, List<Route> newRoutes, List<Pool> newPools) {
    return new Configuration(revision + 1, edit, newRoutes, newPools);
  }
}
