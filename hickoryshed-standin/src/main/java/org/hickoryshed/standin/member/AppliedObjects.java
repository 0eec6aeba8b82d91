package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The objects and idempotency keys that result from the applied part of the log. Not thread-safe;
 * guarded by the monitor of {@link MemberState}.
 */
final class AppliedObjects {

  private final Map<String, List<String>> values = new HashMap<>();

  private final Map<String, RecordedKey> keys = new HashMap<>();

  /** Applies the next entry of the log. */
  void apply(long index, LogEntry entry) {
    entry.changes().forEach(this::apply);
    entry.key().ifPresent(key -> keys.put(key, new RecordedKey(index, entry.cancelled())));
  }

  private void apply(LogEntry.Change change) {
    List<String> current = values.computeIfAbsent(change.object(), name -> new ArrayList<>());
    if (!change.append()) {
      current.clear();
    }
    current.add(change.value());
  }

  /** Returns the values of an object, empty if it was never written. */
  List<String> values(String object) {
    return List.copyOf(values.getOrDefault(object, List.of()));
  }

  /** Returns the record of an idempotency key, empty if no applied entry has recorded it. */
  Optional<RecordedKey> key(String key) {
    return Optional.ofNullable(keys.get(key));
  }

  /** Removes all objects and keys, before the log is applied anew. */
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
  record RecordedKey(long index, boolean cancelled) {}
}
