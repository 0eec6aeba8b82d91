package org.hickoryshed.session.member;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * The statements that wait for a connection to one member, ordered by priority and then by arrival.
 */
final class BorrowerQueue {

  /**
   * How long the first statement of a caller waits at most while connections are lent to statements
   * of other workspaces, in milliseconds.
   */
  private static final long MAX_PASSED_OVER_MILLIS = 50;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingInt((Entry entry) -> entry.borrower.priority())
              .thenComparingLong(entry -> entry.number));

  private long nextNumber;

  int size() {
    return entries.size();
  }

  /**
   * Adds a statement.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  void add(Borrower borrower, long now) {
    entries.add(new Entry(borrower, nextNumber++, now));
  }

  /** Removes a statement; does nothing if it does not wait. */
  void remove(Borrower borrower) {
    entries.removeIf(entry -> entry.borrower == borrower);
  }

  /**
   * Serves the statements that may use one of the idle connections, in the order of the queue.
   *
   * @param idle The idle connections, from which those that are lent are removed.
   * @param onlyOfProxies Tells if the member has no room for more statements of callers.
   * @param lender Lends a connection to a statement.
   */
  void serve(
      IdleConnections idle,
      BooleanSupplier onlyOfProxies,
      BiConsumer<DirectConnection, Borrower> lender) {
    for (Entry next : inOrder()) {
      if (idle.size() == 0) {
        return;
      }
      boolean hasRoom = next.borrower.isOfProxy() || !onlyOfProxies.getAsBoolean();
      if (hasRoom && entries.contains(next)) {
        idle.take(next.borrower)
            .ifPresent(
                connection -> {
                  entries.remove(next);
                  lender.accept(connection, next.borrower);
                });
      }
    }
  }

  /**
   * Checks if the first statement of a caller has waited too long while statements of other
   * workspaces, which came later or are less urgent, use the connections.
   *
   * @param workspace The workspace of the connection that is free now.
   * @param now The monotonic clock reading in nanoseconds.
   */
  boolean isPassedOver(Optional<String> workspace, long now) {
    return entries.stream()
        .filter(entry -> !entry.borrower.isOfProxy())
        .min(entries.comparator())
        .filter(first -> !first.borrower.workspace().equals(workspace))
        .filter(first -> now - first.since >= MAX_PASSED_OVER_MILLIS * NANOS_PER_MILLI)
        .isPresent();
  }

  /**
   * Finds the first statement for which no connection is being opened.
   *
   * @param connections All connections to the member.
   * @return The statement, empty if enough connections are being opened.
   */
  Optional<Borrower> firstWithoutOpening(List<DirectConnection> connections) {
    Map<Optional<String>, Integer> available = new HashMap<>();
    connections.stream()
        .filter(connection -> !connection.isOpened())
        .forEach(connection -> available.merge(connection.workspace(), 1, Integer::sum));
    for (Entry entry : inOrder()) {
      if (available.merge(entry.borrower.workspace(), -1, Integer::sum) < 0) {
        return Optional.of(entry.borrower);
      }
    }
    return Optional.empty();
  }

  /** Removes all statements and returns them in the order of the queue. */
  List<Borrower> drain() {
    List<Borrower> all = inOrder().stream().map(Entry::borrower).toList();
    entries.clear();
    return all;
  }

  private List<Entry> inOrder() {
    return entries.stream().sorted(entries.comparator()).toList();
  }

  /**
   * A waiting statement.
   *
   * @param number Rises with each entry, to keep the order of arrival within a priority.
   * @param since When it came, in nanoseconds of the monotonic clock.
   */
  private record Entry(Borrower borrower, long number, long since) {}
}
