package org.hickoryshed.decision.workspace;

import java.util.Set;

/**
 * A workspace: a customer of the databases, with the keys by which its callers identify themselves.
 *
 * @param name The name, a single word that members are told.
 * @param keys The keys, which are secret: they are neither logged nor passed on to members.
 * @param ratePerSecond The number of operations a second that all proxies together admit in the
 *     long run, infinite if there is no limit.
 * @param burst The number of operations that are admitted beyond the rate at once.
 */
public record Workspace(String name, Set<String> keys, double ratePerSecond, long burst) {

  /** Copies the keys. */
  public Workspace {
    keys = Set.copyOf(keys);
  }

  /** Returns a text for logs, which states the number of keys but none of them. */
  @Override
  public String toString() {
    return "Workspace[name=%s, keys=%d, ratePerSecond=%s, burst=%d]"
        .formatted(name, keys.size(), ratePerSecond, burst);
  }
}
