package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The objects that a member has applied from its log. */
final class AppliedObjects {

  /** The values by the names of the objects. */
  private final Map<String, List<String>> values = new HashMap<>();

  /** The recorded idempotency keys. */
  private final Map<String, KeyRecord> keys = new HashMap<>();

  /**
   * Applies an entry.
   *
   * @param index The index of the entry.
   * @param entry The entry.
   */
  void apply(long index, LogEntry entry) {
    entry.changes().forEach(this::apply);
    entry.key().ifPresent(key -> keys.put(key, new KeyRecord(index, entry.cancelled())));
  }

  /**
   * Applies a change.
   *
   * @param change The change.
   */
  private void apply(LogEntry.Change change) {
    List<String> current = values.computeIfAbsent(change.object(), name -> new ArrayList<>());
    if (!change.append()) {
      current.clear();
    }
    current.add(change.value());
  }

  /**
   * Returns the values of an object.
   *
   * @param object The name of the object.
   * @return The values.
   */
  List<String> values(String object) {
    return List.copyOf(values.getOrDefault(object, List.of()));
  }

  /**
   * Returns the record of an idempotency key.
   *
   * @param key The idempotency key.
   * @return The record or an empty optional.
   */
  Optional<KeyRecord> key(String key) {
    return Optional.ofNullable(keys.get(key));
  }

  /** Forgets everything. */
  void clear() {
    values.clear();
    keys.clear();
  }

  /**
   * A recorded idempotency key.
   *
   * @param index The index of the entry that recorded the key.
   * @param cancelled {@code true} if the key was recorded as cancelled.
   */
  record KeyRecord(long index, boolean cancelled) {}
}
