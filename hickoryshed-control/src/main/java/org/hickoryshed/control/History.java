package org.hickoryshed.control;

import java.util.ArrayList;
import java.util.List;

/**
 * The history of accepted edits.
 *
 * @param edits The edits, latest last.
 */
record History(List<Edit> edits) {

  /** A history without edits. */
  static final History EMPTY = new History(List.of());

  /** Creates a new history. */
  History {
    edits = List.copyOf(edits);
  }

  /**
   * Adds an edit unless it is known.
   *
   * @param edit The edit.
   * @param length The number of edits to keep.
   * @return The history with the edit.
   */
  History with(Edit edit, int length) {
    if (edits.stream().anyMatch(known -> known.editId().equals(edit.editId()))) {
      return this;
    }
    List<Edit> next = new ArrayList<>(edits);
    next.add(edit);
    return new History(next.subList(Math.max(0, next.size() - length), next.size()));
  }

  /**
   * An accepted edit.
   *
   * @param revision The revision that the edit made.
   * @param editId The identifier of the edit.
   * @param operator The name of the operator.
   * @param time The time of the edit in ISO 8601.
   */
  record Edit(long revision, String editId, String operator, String time) {}
}
