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

/**
 * Tracks the state of every connection to one member.
 *
 * <p>A connection is being opened, idle, busy with a statement outside of a transaction, or bound
 * to a transaction until that ends. The pool performs no I/O: it appends the connections to open or
 * close to the command list of its caller. Like its {@link MemberScheduler} it is not thread-safe.
 */
final class ConnectionPool {

  /** The delay in milliseconds before the next attempt after a failed one, while work waits. */
  private static final long RETRY_DELAY_WITH_WORK = 50;

  /** The delay in milliseconds before the next attempt after a failed one, while no work waits. */
  private static final long RETRY_DELAY_WITHOUT_WORK = 2_000;

  /** The idle connections, most recently used first. */
  private final Deque<Long> idle = new ArrayDeque<>();

  private final Set<Long> opening = new HashSet<>();

  /** The connections that run a statement outside of a transaction. */
  private final Set<Long> busy = new HashSet<>();

  private final Map<Long, Transaction> transactions = new HashMap<>();

  /** The identifier of the connection that was opened last. */
  private long latestId;

  /** The time in milliseconds of the last failed attempt to connect. */
  private long failedAt = Long.MIN_VALUE / 2;

  /**
   * Starts to open a connection unless the limit is reached or the last failure is too recent.
   *
   * @param limit The maximum number of connections.
   * @param urgent {@code true} if work waits, which shortens the delay after a failure.
   * @param now The current time in milliseconds.
   * @param commands Receives the command to connect.
   * @return {@code true} if a connection is being opened.
   */
  boolean tryOpen(int limit, boolean urgent, long now, List<Command> commands) {
    long delay = urgent ? RETRY_DELAY_WITH_WORK : RETRY_DELAY_WITHOUT_WORK;
    if (totalCount() >= limit || now - failedAt < delay) {
      return false;
    }
    opening.add(++latestId);
    commands.add(new Command.Connect(latestId));
    return true;
  }

  /** Makes a connection idle that was opened successfully. */
  void onOpened(long connection) {
    if (opening.remove(connection)) {
      idle.addFirst(connection);
    }
  }

  /** Drops a connection that could not be opened, and delays the next attempt. */
  void onOpenFailed(long connection, long now) {
    opening.remove(connection);
    failedAt = now;
  }

  /**
   * Takes the most recently used idle connection and marks it busy.
   *
   * @return The identifier of the connection, empty if none is idle.
   */
  OptionalLong acquire() {
    if (idle.isEmpty()) {
      return OptionalLong.empty();
    }
    long connection = idle.removeFirst();
    busy.add(connection);
    return OptionalLong.of(connection);
  }

  /**
   * Releases a busy connection after its statement.
   *
   * @param connection The identifier of the connection.
   * @param reusable {@code false} if a statement may still be in flight: the connection is closed.
   * @param commands Receives the command to close.
   */
  void release(long connection, boolean reusable, List<Command> commands) {
    if (!busy.remove(connection)) {
      return;
    }
    if (reusable) {
      idle.addFirst(connection);
    } else {
      commands.add(new Command.Close(connection));
    }
  }

  /** Binds a busy connection to a transaction that has begun on it. */
  void bindToTransaction(long transaction, long connection) {
    busy.remove(connection);
    transactions.put(transaction, new Transaction(connection));
  }

  /**
   * Returns an open transaction.
   *
   * @param transaction The identifier of the transaction.
   * @return The transaction, {@code null} if it is not open.
   */
  Transaction transaction(long transaction) {
    return transactions.get(transaction);
  }

  /**
   * Ends a transaction and releases its connection.
   *
   * @param transaction The identifier of the transaction.
   * @param reusable {@code true} if the transaction ended at the member and nothing is in flight.
   *     Otherwise the connection is closed, which rolls the transaction back.
   * @param commands Receives the command to close.
   */
  void endTransaction(long transaction, boolean reusable, List<Command> commands) {
    Transaction ended = transactions.remove(transaction);
    if (ended == null) {
      return;
    }
    if (reusable) {
      idle.addFirst(ended.connection);
    } else {
      commands.add(new Command.Close(ended.connection));
    }
  }

  /**
   * Closes the connections of transactions that were idle for too long, which rolls them back.
   *
   * @param before The time in milliseconds; a transaction last used earlier is closed unless one of
   *     its statements is in flight.
   * @param commands Receives the commands to close.
   */
  void closeIdleTransactions(long before, List<Command> commands) {
    List<Long> expired = new ArrayList<>();
    transactions.forEach(
        (id, transaction) -> {
          if (!transaction.running && transaction.usedAt < before) {
            expired.add(id);
          }
        });
    expired.forEach(id -> endTransaction(id, false, commands));
  }

  /** Closes all idle connections. */
  void closeIdleConnections(List<Command> commands) {
    idle.forEach(connection -> commands.add(new Command.Close(connection)));
    idle.clear();
  }

  /** Counts the connections that are idle or being opened. */
  int availableCount() {
    return idle.size() + opening.size();
  }

  /** Counts the connections that are open or being opened. */
  int totalCount() {
    return idle.size() + opening.size() + busy.size() + transactions.size();
  }

  int transactionCount() {
    return transactions.size();
  }

  /** An open transaction and the connection that is bound to it. */
  static final class Transaction {

    final long connection;

    /** True while a statement of the transaction is in flight. */
    boolean running;

    /** The time in milliseconds at which the transaction began or its last statement ended. */
    long usedAt;

    Transaction(long connection) {
      this.connection = connection;
    }
  }
}
