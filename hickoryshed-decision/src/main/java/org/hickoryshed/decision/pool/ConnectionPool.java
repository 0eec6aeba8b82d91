package org.hickoryshed.decision.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** The connections to one member: each is idle, carries one statement or one transaction. */
final class ConnectionPool {

  /** The pause in milliseconds after a connection was refused while work waits. */
  private static final long URGENT_PAUSE = 50;

  /** The pause in milliseconds after a connection was refused while no work waits. */
  private static final long IDLE_PAUSE = 2_000;

  /** The connections that carry nothing, most recently used first. */
  private final Deque<Long> idle = new ArrayDeque<>();

  /** The connections that are being opened. */
  private final Set<Long> opening = new HashSet<>();

  /** The connections that carry a statement outside of a transaction. */
  private final Set<Long> busy = new HashSet<>();

  /** The open transactions by their identifiers. */
  private final Map<Long, Transaction> transactions = new HashMap<>();

  /** The identifier of the latest connection. */
  private long latest;

  /** The time in milliseconds at which a connection was last refused. */
  private long refusedAt = Long.MIN_VALUE / 2;

  /**
   * Opens a connection if the limit allows it.
   *
   * @param limit The largest number of connections.
   * @param urgent {@code true} if work waits for the connection.
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   * @return {@code true} if a connection is being opened.
   */
  boolean open(int limit, boolean urgent, long now, List<Command> commands) {
    long pause = urgent ? URGENT_PAUSE : IDLE_PAUSE;
    if (total() >= limit || now - refusedAt < pause) {
      return false;
    }
    opening.add(++latest);
    commands.add(new Command.Connect(latest));
    return true;
  }

  /**
   * Takes an opened connection into use.
   *
   * @param connection The identifier of the connection.
   */
  void opened(long connection) {
    if (opening.remove(connection)) {
      idle.addFirst(connection);
    }
  }

  /**
   * Forgets a connection that could not be opened.
   *
   * @param connection The identifier of the connection.
   * @param now The current time in milliseconds.
   */
  void refused(long connection, long now) {
    opening.remove(connection);
    refusedAt = now;
  }

  /**
   * Takes an idle connection for a statement.
   *
   * @return The identifier of the connection or an empty optional.
   */
  OptionalLong take() {
    if (idle.isEmpty()) {
      return OptionalLong.empty();
    }
    long connection = idle.removeFirst();
    busy.add(connection);
    return OptionalLong.of(connection);
  }

  /**
   * Returns a connection after a statement.
   *
   * @param connection The identifier of the connection.
   * @param usable {@code true} if nothing is in flight on the connection.
   * @param commands The commands to add to.
   */
  void release(long connection, boolean usable, List<Command> commands) {
    if (!busy.remove(connection)) {
      return;
    }
    if (usable) {
      idle.addFirst(connection);
    } else {
      commands.add(new Command.Close(connection));
    }
  }

  /**
   * Binds a connection to a transaction.
   *
   * @param transaction The identifier of the transaction.
   * @param connection The identifier of the connection.
   */
  void bind(long transaction, long connection) {
    busy.remove(connection);
    transactions.put(transaction, new Transaction(connection));
  }

  /**
   * Returns an open transaction.
   *
   * @param transaction The identifier of the transaction.
   * @return The transaction or {@code null}.
   */
  Transaction transaction(long transaction) {
    return transactions.get(transaction);
  }

  /**
   * Ends a transaction.
   *
   * @param transaction The identifier of the transaction.
   * @param usable {@code true} if the transaction ended at the member and nothing is in flight.
   * @param commands The commands to add to.
   */
  void end(long transaction, boolean usable, List<Command> commands) {
    Transaction ended = transactions.remove(transaction);
    if (ended == null) {
      return;
    }
    if (usable) {
      idle.addFirst(ended.connection);
    } else {
      commands.add(new Command.Close(ended.connection));
    }
  }

  /**
   * Closes transactions that were idle for too long.
   *
   * @param before The time in milliseconds of the last use before which a transaction is closed.
   * @param commands The commands to add to.
   */
  void expire(long before, List<Command> commands) {
    List<Long> expired = new ArrayList<>();
    transactions.forEach(
        (id, transaction) -> {
          if (!transaction.running && transaction.usedAt < before) {
            expired.add(id);
          }
        });
    expired.forEach(id -> end(id, false, commands));
  }

  /**
   * Closes all idle connections.
   *
   * @param commands The commands to add to.
   */
  void closeIdle(List<Command> commands) {
    idle.forEach(connection -> commands.add(new Command.Close(connection)));
    idle.clear();
  }

  /**
   * Counts the connections that are idle or being opened.
   *
   * @return The number of connections.
   */
  int spare() {
    return idle.size() + opening.size();
  }

  /**
   * Counts all connections.
   *
   * @return The number of connections that are open or being opened.
   */
  int total() {
    return idle.size() + opening.size() + busy.size() + transactions.size();
  }

  /**
   * Counts the open transactions.
   *
   * @return The number of open transactions.
   */
  int openTransactions() {
    return transactions.size();
  }

  /** A transaction and the connection that it holds from begin to end. */
  static final class Transaction {

    /** The identifier of the connection. */
    final long connection;

    /** True while a statement of the transaction is in flight. */
    boolean running;

    /** The time in milliseconds at which the transaction was last used. */
    long usedAt;

    /**
     * Creates a new transaction.
     *
     * @param connection The identifier of the connection.
     */
    Transaction(long connection) {
      this.connection = connection;
    }
  }
}
