package org.hickoryshed.control;

import java.util.ArrayList;
import java.util.List;

/**
 * The history of accepted edits, an object of its own in the store.
 *
 * @param edits The edits, latest last.
 */
record History(List<Edit> edits) {

  /** The history before the first edit. */
  static final History EMPTY = new History(List.of());

  History {
    edits = List.copyOf(edits);
  }

  /**
   * Adds an edit, unless an edit with its identifier is already in the history.
   *
   * @param edit The edit.
   * @param maxEdits The largest number of edits to keep; older ones are dropped.
   * @return The history with the edit.
   */
  History with(Edit edit, int maxEdits) {
    if (edits.stream().anyMatch(existing -> existing.editId().equals(edit.editId()))) {
      return this;
    }
    List<Edit> next = new ArrayList<>(edits);
    next.add(edit);
    return new History(next.subList(Math.max(0, next.size() - maxEdits), next.size()));
  }

  /**
   * An accepted edit.
   *
   * @param revision The revision that the edit created.
   * @param editId The identifier of the edit.
   * @param operator The name of the operator.
   * @param time The time of the edit in ISO 8601.
   */
  record Edit(long revision, String editId, String operator, String time) {}
}
