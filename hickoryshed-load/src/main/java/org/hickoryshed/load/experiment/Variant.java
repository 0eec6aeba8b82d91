package org.hickoryshed.load.experiment;

import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * Settings under which an experiment runs.
 *
 * @param name The name of the variant.
 * @param scheduling The scheduling of all pools.
 * @param reads The members that serve the reads of all routes.
 */
record Variant(String name, Pool.Scheduling scheduling, Route.Reads reads) {

  /**
   * Reads a variant.
   *
   * @param reader The reader.
   * @param name The name of the variant.
   * @return The variant.
   */
  static Variant read(SettingsReader reader, String name) {
    String key = "variants." + name + ".";
    return new Variant(
        name,
        reader.choice(key + "scheduling", Pool.Scheduling.class, Pool.Scheduling.SHORT_FIRST),
        reader.choice(key + "reads", Route.Reads.class, Route.Reads.REPLICAS));
  }

  /**
   * Applies this variant.
   *
   * @param before The configuration before.
   * @return The configuration of the next revision.
   */
  Configuration apply(Configuration before) {
    List<Pool> pools =
        before.pools().stream()
            .map(
                pool ->
                    new Pool(
                        pool.name(),
                        pool.databases(),
                        pool.connections(),
                        pool.slots(),
                        scheduling,
                        pool.longWorkMillis()))
            .toList();
    List<Route> routes = before.routes().stream().map(this::apply).toList();
    return before.edit("experiment-" + name + "-" + before.revision(), routes, pools);
  }

  /**
   * Applies this variant to a route.
   *
   * @param route The route.
   * @return The changed route.
   */
  private Route apply(Route route) {
    Optional<Integer> maxAge =
        reads == Route.Reads.PRIMARY ? Optional.empty() : route.maxAgeMillis();
    return new Route(
        route.name(),
        route.pool(),
        route.access(),
        reads,
        maxAge,
        route.timeoutMillis(),
        route.priority());
  }
}
