package org.hickoryshed.decision.memory;

import java.util.Map;

/**
 * What is charged to a {@link MemoryBudget} at a time.
 *
 * @param capacityBytes The largest sum of all kinds.
 * @param bytes The bytes that are charged, by kind; a kind without any may be missing.
 * @param refusals How often an account was refused since the start.
 */
public record MemoryUsage(long capacityBytes, Map<MemoryKind, Long> bytes, long refusals) {

  /** Copies the bytes. */
  public MemoryUsage {
    bytes = Map.copyOf(bytes);
  }

  /**
   * Returns the bytes that are charged for a kind.
   *
   * @param kind The kind.
   */
  public long bytesOf(MemoryKind kind) {
    return bytes.getOrDefault(kind, 0L);
  }

  /** Returns the sum of all kinds in bytes. */
  public long totalBytes() {
    return bytes.values().stream().mapToLong(Long::longValue).sum();
  }
}
