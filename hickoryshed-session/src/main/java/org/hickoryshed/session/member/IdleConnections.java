package org.hickoryshed.session.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The idle connections to one member, in the order of their last use. */
final class IdleConnections {

  /** The connections; the one that was released last is at the end. */
  private final List<DirectConnection> connections = new ArrayList<>();

  int size() {
    return connections.size();
  }

  void add(DirectConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection; does nothing if it is not idle. */
  void remove(DirectConnection connection) {
    connections.remove(connection);
  }

  /** Returns a copy of the list of all idle connections, the one idle for longest first. */
  List<DirectConnection> all() {
    return List.copyOf(connections);
  }

  /** Returns the connection that was idle for the longest time; there must be one. */
  DirectConnection oldest() {
    return connections.getFirst();
  }

  /** Checks if there is a connection that a statement may use. */
  boolean hasFor(Borrower borrower) {
    return connections.stream().anyMatch(connection -> mayUse(borrower, connection));
  }

  /**
   * Takes the connection that was released last among those that a statement may use, preferably
   * one whose session values match.
   *
   * @return The connection, empty if none may be used.
   */
  Optional<DirectConnection> take(Borrower borrower) {
    List<DirectConnection> usable =
        connections.reversed().stream().filter(connection -> mayUse(borrower, connection)).toList();
    Optional<DirectConnection> found =
        usable.stream()
            .filter(connection -> connection.hasValuesOf(borrower.session()))
            .findFirst()
            .or(() -> usable.stream().findFirst());
    found.ifPresent(connections::remove);
    return found;
  }

  private static boolean mayUse(Borrower borrower, DirectConnection connection) {
    return borrower.isOfProxy() || borrower.workspace().equals(connection.workspace());
  }
}
