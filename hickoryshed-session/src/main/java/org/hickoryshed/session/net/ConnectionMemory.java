package org.hickoryshed.session.net;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.hickoryshed.decision.memory.MemoryBudget;
import org.hickoryshed.decision.memory.MemoryKind;
import org.hickoryshed.decision.memory.MemoryUsage;
import org.tinylog.Logger;

/**
 * Applies the memory budget of the process to the connections of its event loop.
 *
 * <p>A connection that asks for more than there is stops reading and waits. While some wait and
 * nothing is released, the connections that hold most and run nothing are closed one by one.
 * Confined to the thread of the event loop.
 */
final class ConnectionMemory {

  /** The part of the heap that connections may hold; the rest is for all else and for garbage. */
  private static final double HEAP_PART = 0.4;

  /** The part of the budget that only connections with little data may use. */
  private static final double RESERVE_PART = 0.25;

  /** What a connection of an ordinary caller holds at most, in weighted bytes. */
  private static final long ORDINARY_BYTES = 64 * 1024;

  /** A received byte becomes a text, its parts, and the output to a member. */
  private static final int INPUT_WEIGHT = 4;

  /** A byte to be sent is in the answer of the member, too. */
  private static final int OUTPUT_WEIGHT = 2;

  /** The rows of a response are counted with what they take up beside their characters. */
  private static final int ROW_WEIGHT = 1;

  /** A value is kept by the session, and by the connections of members that hold it. */
  private static final int SESSION_STATE_WEIGHT = 3;

  /** How many checks in a row find connections waiting before the largest one is closed. */
  private static final int PATIENCE_CHECKS = 2;

  private final MemoryBudget budget;

  private final Map<MemoryBudget.Account, Connection> connections = new HashMap<>();

  /** The connections that stopped reading until there is room, the first one first. */
  private final Set<Connection> waiting = new LinkedHashSet<>();

  /** The number of checks since the last time that a waiting connection got room. */
  private int checksInVain;

  private volatile MemoryUsage usage;

  /** True from the first refusal until a check finds that nothing waits. */
  private boolean refusing;

  ConnectionMemory(MemoryBudget budget) {
    this.budget = budget;
    usage = budget.usage();
  }

  /** Returns a budget for a heap of the given size in bytes. */
  static MemoryBudget budgetFor(long heapBytes) {
    long capacity = (long) (heapBytes * HEAP_PART);
    return new MemoryBudget(capacity, (long) (capacity * RESERVE_PART), ORDINARY_BYTES);
  }

  /** Opens the account of a connection. */
  MemoryBudget.Account open(Connection connection) {
    MemoryBudget.Account account = budget.open();
    connections.put(account, connection);
    return account;
  }

  /** Releases all that a connection holds. */
  void close(MemoryBudget.Account account) {
    account.close();
    waiting.remove(connections.remove(account));
  }

  /**
   * Charges what a connection holds of a kind.
   *
   * @param size The size in bytes, not weighted.
   * @return {@code false} if there is no room.
   */
  boolean charge(MemoryBudget.Account account, MemoryKind kind, long size) {
    int weight =
        switch (kind) {
          case INPUT -> INPUT_WEIGHT;
          case OUTPUT -> OUTPUT_WEIGHT;
          case ROWS -> ROW_WEIGHT;
          case SESSION_STATE -> SESSION_STATE_WEIGHT;
        };
    boolean granted = account.resize(kind, size * weight);
    if (!granted && !refusing) {
      refusing = true;
      Logger.warn(
          "memory-refusing begins: {} of {} bytes charged",
          budget.usage().totalBytes(),
          budget.capacityBytes());
    }
    return granted;
  }

  /** Charges data that exists already, and closes the largest connections to make room for it. */
  boolean chargeHeld(Connection connection, MemoryKind kind, long size) {
    while (!charge(connection.account(), kind, size)) {
      if (connection.isClosed() || !closeLargest()) {
        return false;
      }
    }
    return true;
  }

  /** Lets a connection wait for room; {@link Connection#onRoom} tells it. */
  void await(Connection connection) {
    waiting.add(connection);
  }

  /** Lets the waiting connections try again if memory was released. */
  void resumeWaiting() {
    if (waiting.isEmpty() || !budget.takeReleased()) {
      return;
    }
    for (Connection connection : List.copyOf(waiting)) {
      if (connection.onRoom()) {
        waiting.remove(connection);
        checksInVain = 0;
      }
    }
  }

  /** Returns what was charged at the last check; may be called by any thread. */
  MemoryUsage usage() {
    return usage;
  }

  /** Closes the largest connection if others wait in vain; called periodically. */
  void check() {
    usage = budget.usage();
    if (waiting.isEmpty()) {
      checksInVain = 0;
      if (refusing) {
        refusing = false;
        Logger.warn("memory-refusing ends: {} refusals since the start", budget.usage().refusals());
      }
      return;
    }
    checksInVain++;
    if (checksInVain >= PATIENCE_CHECKS) {
      closeLargest();
    }
  }

  /** Closes the connection that holds most of those that run nothing; {@code false} if none. */
  private boolean closeLargest() {
    Predicate<MemoryBudget.Account> dispensable =
        account -> connections.get(account).isDispensable();
    Optional<Connection> largest =
        budget
            .largest(dispensable)
            .or(() -> budget.largestOfAnySize(dispensable))
            .map(connections::get);
    largest.ifPresent(
        connection -> connection.fail("holds the most memory of an overloaded process"));
    return largest.isPresent();
  }
}
