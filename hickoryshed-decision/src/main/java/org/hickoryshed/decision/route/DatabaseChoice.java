package org.hickoryshed.decision.route;

import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.membership.Rendezvous;

/** The choice of the database of a pool that holds a partition. */
public final class DatabaseChoice {

  /** This class is not instantiated. */
  private DatabaseChoice() {}

  /**
   * Chooses the database of a partition.
   *
   * @param pool The pool, which holds at least one database.
   * @param partition The partition that the caller named.
   * @return The database.
   */
  public static Database of(Pool pool, String partition) {
    return Rendezvous.order(partition, pool.databases(), Database::name).getFirst();
  }
}
