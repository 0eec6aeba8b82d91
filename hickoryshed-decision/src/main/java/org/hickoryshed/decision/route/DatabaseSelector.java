package org.hickoryshed.decision.route;

import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.membership.RendezvousHashing;

/** Maps partitions to the databases of a pool by rendezvous hashing. */
public final class DatabaseSelector {

  private DatabaseSelector() {}

  /**
   * Selects the database that holds a partition.
   *
   * @param pool The pool, which must have at least one database.
   * @param partition The partition that the caller named.
   * @return The database.
   */
  public static Database select(Pool pool, String partition) {
    return RendezvousHashing.order(partition, pool.databases(), Database::name).getFirst();
  }
}
