package org.hickoryshed.standin.member;

import java.util.List;
import java.util.Optional;

/**
 * An entry of the replicated log.
 *
 * @param term The term of the entry.
 * @param changes The changes that the entry makes.
 * @param key The idempotency key that the entry records.
 * @param cancelled {@code true} if the key is recorded as cancelled.
 */
record LogEntry(long term, List<Change> changes, Optional<String> key, boolean cancelled) {

  /** Creates a new entry. */
  LogEntry {
    changes = List.copyOf(changes);
  }

  /**
   * A change of one object.
   *
   * @param object The name of the object.
   * @param value The value.
   * @param append {@code true} if the value is added, {@code false} if it replaces all values.
   */
  record Change(String object, String value, boolean append) {}
}
