package org.hickoryshed.decision.configuration;

import java.util.List;

/**
 * A pool: databases and how the connections to their members are shared.
 *
 * @param name The name of the pool.
 * @param databases The databases, over which partitions are spread.
 * @param connections The number of connections that each member accepts.
 * @param slots The number of statements that each member runs at once.
 * @param scheduling The order in which waiting work runs.
 * @param longWorkMillis The cost in milliseconds from which work counts as long.
 */
public record Pool(
    String name,
    List<Database> databases,
    int connections,
    int slots,
    Scheduling scheduling,
    int longWorkMillis) {

  /** Creates a new pool. */
  public Pool {
    databases = List.copyOf(databases);
  }

  /** The order in which waiting work runs. */
  public enum Scheduling {

    /** Work runs in order of arrival and is refused only when the queue is full. */
    FIFO,

    /** Short work runs first, long work leaves a slot free, and hopeless work is refused. */
    SHORT_FIRST
  }
}
