package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.List;

/**
 * A connection to a member with its open transaction. A request acquires the connection; the
 * transaction may only be used by the request that has acquired it.
 */
final class StandInConnection {

  /** The uncommitted changes of the open transaction, {@code null} if none is open. */
  private List<LogEntry.Change> changes;

  /** The term in which the open transaction was begun. */
  private long term;

  /** The time in milliseconds at which this connection was last acquired. */
  private long usedAt;

  private boolean busy;

  /**
   * Acquires this connection for a request.
   *
   * @param now The current time in milliseconds.
   * @return {@code false} if another request uses the connection.
   */
  synchronized boolean tryAcquire(long now) {
    if (busy) {
      return false;
    }
    busy = true;
    usedAt = now;
    return true;
  }

  /** Releases this connection after a request. */
  synchronized void release() {
    busy = false;
  }

  /**
   * Returns whether this connection is unused and was last acquired before a time in milliseconds.
   */
  synchronized boolean isIdle(long before) {
    return !busy && usedAt < before;
  }

  /** Begins a transaction and discards the one that is open, if any. */
  void begin(long currentTerm) {
    changes = new ArrayList<>();
    term = currentTerm;
  }

  /**
   * Returns whether a transaction is open that was begun in the current term of the member. A
   * transaction does not outlive its term.
   */
  boolean isOpen(long currentTerm) {
    return changes != null && term == currentTerm;
  }

  void add(List<LogEntry.Change> added) {
    changes.addAll(added);
  }

  /** Ends the open transaction and returns its changes, none if no transaction is open. */
  List<LogEntry.Change> end() {
    List<LogEntry.Change> ended = changes == null ? List.of() : changes;
    changes = null;
    return ended;
  }
}
