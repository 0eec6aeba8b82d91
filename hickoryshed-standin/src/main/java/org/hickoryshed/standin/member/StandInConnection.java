package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.List;

/** A connection to a member, with the transaction that is open on it. */
final class StandInConnection {

  /** The changes of the open transaction, or {@code null} if none is open. */
  private List<LogEntry.Change> changes;

  /** The term in which the open transaction was begun. */
  private long term;

  /** The time in milliseconds of the latest use. */
  private long usedAt;

  /** True while a request is in flight. */
  private boolean busy;

  /**
   * Takes this connection for a request.
   *
   * @param now The current time in milliseconds.
   * @return {@code false} if another request is in flight.
   */
  synchronized boolean tryAcquire(long now) {
    if (busy) {
      return false;
    }
    busy = true;
    usedAt = now;
    return true;
  }

  /** Gives this connection back after a request. */
  synchronized void release() {
    busy = false;
  }

  /**
   * Checks if this connection was not used for long.
   *
   * @param before The time in milliseconds before which the latest use must be.
   * @return {@code true} if this connection is idle.
   */
  synchronized boolean isIdle(long before) {
    return !busy && usedAt < before;
  }

  /**
   * Begins a transaction.
   *
   * @param currentTerm The term of the member.
   */
  void begin(long currentTerm) {
    changes = new ArrayList<>();
    term = currentTerm;
  }

  /**
   * Checks if a transaction of a term is open.
   *
   * @param currentTerm The term of the member.
   * @return {@code true} if a transaction is open.
   */
  boolean isOpen(long currentTerm) {
    return changes != null && term == currentTerm;
  }

  /**
   * Adds changes to the open transaction.
   *
   * @param added The changes.
   */
  void add(List<LogEntry.Change> added) {
    changes.addAll(added);
  }

  /**
   * Ends the open transaction.
   *
   * @return The changes of the transaction.
   */
  List<LogEntry.Change> end() {
    List<LogEntry.Change> ended = changes == null ? List.of() : changes;
    changes = null;
    return ended;
  }
}
