package org.hickoryshed.decision.configuration;

import java.util.List;

/**
 * A pool: a set of databases and the limits under which each of their members is used.
 *
 * @param name The name of the pool.
 * @param databases The databases; each partition is held by one of them.
 * @param connections The maximum number of connections to each member.
 * @param slots The maximum number of statements that run on each member concurrently.
 * @param scheduling The order in which queued work runs.
 * @param longWorkMillis The estimated cost in milliseconds from which work counts as long.
 */
public record Pool(
    String name,
    List<Database> databases,
    int connections,
    int slots,
    Scheduling scheduling,
    int longWorkMillis) {

  /** Copies the list of databases. */
  public Pool {
    databases = List.copyOf(databases);
  }

  /** The order in which queued work runs. */
  public enum Scheduling {

    /** Work runs in the order of arrival and is rejected only if the queue is full. */
    FIFO,

    /**
     * Short work runs before long work of the same kind and priority, long work leaves one slot to
     * short work, and work that would miss its deadline is rejected.
     */
    SHORT_FIRST
  }
}
