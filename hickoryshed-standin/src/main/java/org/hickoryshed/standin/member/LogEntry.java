package org.hickoryshed.standin.member;

import java.util.List;
import java.util.Optional;

/**
 * An entry of the replicated log.
 *
 * @param term The term in which the entry was appended.
 * @param changes The changes to objects; empty for the entry with which a primary begins its term
 *     and for a cancelled key.
 * @param key The idempotency key that the entry records, if any.
 * @param cancelled {@code true} if the key is recorded as cancelled, so that a later write with
 *     this key is refused.
 */
record LogEntry(long term, List<Change> changes, Optional<String> key, boolean cancelled) {

  /** Copies the list of changes. */
  LogEntry {
    changes = List.copyOf(changes);
  }

  /**
   * A change of one object, which is a list of values.
   *
   * @param object The name of the object.
   * @param value The value.
   * @param append {@code true} to append the value, {@code false} to replace all values by it.
   */
  record Change(String object, String value, boolean append) {}
}
