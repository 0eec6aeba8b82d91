package org.hickoryshed.decision.route;

import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.membership.RendezvousHashing;

/** The choice of the database of a pool that holds a partition. */
public final class DatabaseSelector {

  /** This class is not instantiated. */
  private DatabaseSelector() {}

  /**
   * Chooses the database of a partition.
   *
   * @param pool The pool, which holds at least one database.
   * @param partition The partition that the caller named.
   * @return The database.
   */
  public static Database select(Pool pool, String partition) {
    return RendezvousHashing.order(partition, pool.databases(), Database::name).getFirst();
  }
}
