package org.hickoryshed.decision.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;

/**
 * Both tables as one versioned document, so that one conditional update checks them together.
 *
 * @param revision The revision, which only rises.
 * @param editId The identifier of the edit that made this revision.
 * @param routes The routes.
 * @param pools The pools.
 */
public record Configuration(long revision, String editId, List<Route> routes, List<Pool> pools) {

  /** The configuration before any was accepted. */
  public static final Configuration EMPTY = new Configuration(0, "", List.of(), List.of());

  /** Creates a new configuration. */
  public Configuration {
    routes = List.copyOf(routes);
    pools = List.copyOf(pools);
  }

  /**
   * Returns a route by its name.
   *
   * @param name The name of the route.
   * @return The route or an empty optional.
   */
  public Optional<Route> route(String name) {
    return routes.stream().filter(route -> route.name().equals(name)).findFirst();
  }

  /**
   * Returns a pool by its name.
   *
   * @param name The name of the pool.
   * @return The pool or an empty optional.
   */
  public Optional<Pool> pool(String name) {
    return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
  }

  /**
   * Returns all databases of all pools.
   *
   * @return All databases.
   */
  @JsonIgnore
  public List<Database> databases() {
    return pools.stream().flatMap(pool -> pool.databases().stream()).toList();
  }

  /**
   * Returns a database by its name.
   *
   * @param name The name of the database.
   * @return The database or an empty optional.
   */
  public Optional<Database> database(String name) {
    return databases().stream().filter(database -> database.name().equals(name)).findFirst();
  }

  /**
   * Returns the pool that holds a database.
   *
   * @param database The name of the database.
   * @return The pool or an empty optional.
   */
  public Optional<Pool> poolOf(String database) {
    return pools.stream()
        .filter(pool -> pool.databases().stream().anyMatch(held -> held.name().equals(database)))
        .findFirst();
  }

  /**
   * Replaces the tables.
   *
   * @param edit The identifier of the edit.
   * @param newRoutes The new routes.
   * @param newPools The new pools.
   * @return The configuration of the next revision.
   */
  public Configuration edit(String edit, List<Route> newRoutes, List<Pool> newPools) {
    return new Configuration(revision + 1, edit, newRoutes, newPools);
  }
}
