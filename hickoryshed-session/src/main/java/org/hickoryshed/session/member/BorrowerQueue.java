package org.hickoryshed.session.member;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** The statements that wait for a connection to one member: by priority, then in their order. */
final class BorrowerQueue {

  /** The places in the queue. */
  private final PriorityQueue<Ticket> tickets =
      new PriorityQueue<>(
          Comparator.comparingInt((Ticket ticket) -> ticket.borrower.priority())
              .thenComparingLong(ticket -> ticket.number));

  /** The number of the next ticket. */
  private long nextTicket;

  /**
   * Returns the number of statements that wait.
   *
   * @return The number of statements.
   */
  int size() {
    return tickets.size();
  }

  /**
   * Adds a statement.
   *
   * @param borrower The statement.
   */
  void add(Borrower borrower) {
    tickets.add(new Ticket(borrower, nextTicket++));
  }

  /**
   * Removes a statement.
   *
   * @param borrower The statement.
   */
  void remove(Borrower borrower) {
    tickets.removeIf(ticket -> ticket.borrower == borrower);
  }

  /**
   * Takes the next statement.
   *
   * @return The statement or an empty optional if none waits.
   */
  Optional<Borrower> poll() {
    return Optional.ofNullable(tickets.poll()).map(Ticket::borrower);
  }

  /**
   * Takes all statements.
   *
   * @return The statements.
   */
  List<Borrower> drain() {
    List<Borrower> all =
        tickets.stream().sorted(tickets.comparator()).map(Ticket::borrower).toList();
    tickets.clear();
    return all;
  }

  /**
   * A place in the queue.
   *
   * @param borrower The statement that waits.
   * @param number The number of the ticket, which rises.
   */
  private record Ticket(Borrower borrower, long number) {}
}
