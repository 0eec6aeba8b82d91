package org.hickoryshed.load.experiment;

import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * A variant of the configuration under which an experiment runs.
 *
 * @param name The name of the variant.
 * @param scheduling The scheduling of all pools.
 * @param reads The members that serve the reads of all routes.
 */
record Variant(String name, Pool.Scheduling scheduling, Route.Reads reads) {

  /**
   * Reads a variant.
   *
   * @param reader The reader, which collects the problems that it finds.
   * @param name The name of the variant.
   * @return The variant; meaningless if the reader has found problems.
   */
  static Variant read(SettingsReader reader, String name) {
    String key = "variants." + name + ".";
    return new Variant(
        name,
        reader.choice(key + "scheduling", Pool.Scheduling.class, Pool.Scheduling.SHORT_FIRST),
        reader.choice(key + "reads", Route.Reads.class, Route.Reads.REPLICAS));
  }

  /**
   * Applies this variant to a configuration.
   *
   * @param current The current configuration.
   * @return The changed configuration, with the next revision.
   */
  Configuration apply(Configuration current) {
    List<Pool> pools =
        current.pools().stream()
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
    List<Route> routes = current.routes().stream().map(this::apply).toList();
    return current.edit("experiment-" + name + "-" + current.revision(), routes, pools);
  }

  /** Applies this variant to a route. Reads at the primary need no accepted age. */
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
