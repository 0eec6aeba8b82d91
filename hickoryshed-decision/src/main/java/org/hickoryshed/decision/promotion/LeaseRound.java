package org.hickoryshed.decision.promotion;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickoryshed.decision.freshness.ClockReading;

/**
 * One round of asking the other proxies whether the primaries that this one uses are still theirs.
 *
 * <p>Not thread-safe.
 */
public final class LeaseRound {

  private final ClockReading askedAt;

  private final LeaseElectors electors;

  /** The member that is the primary of a pool for the asking proxy, by the name of the pool. */
  private final Map<String, String> primaries;

  /** The proxies that gave their word for a pool, by the name of the pool. */
  private final Map<String, Set<String>> words = new HashMap<>();

  /**
   * Creates a round without answers.
   *
   * @param askedAt When it was begun, before the first question was sent.
   * @param electors The proxies whose word counts, the asking one included.
   * @param primaries The identifiers of the primaries that it asks about, by the names of pools.
   */
  public LeaseRound(ClockReading askedAt, LeaseElectors electors, Map<String, String> primaries) {
    this.askedAt = askedAt;
    this.electors = electors;
    this.primaries = Collections.unmodifiableMap(new LinkedHashMap<>(primaries));
  }

  /** Returns when the round was begun. */
  public ClockReading askedAt() {
    return askedAt;
  }

  /**
   * Returns the identifiers of the primaries that it asks about, by the names of their pools, in
   * order.
   */
  public Map<String, String> primaries() {
    return primaries;
  }

  /**
   * Records that a proxy knows of no promotion in a pool and has the same primary there.
   *
   * @param proxy The name of the proxy.
   * @param pool The name of the pool.
   * @return {@code true} if enough proxies gave their word by now.
   */
  public boolean recordWord(String proxy, String pool) {
    Set<String> agreeing = words.computeIfAbsent(pool, key -> new HashSet<>());
    agreeing.add(proxy);
    return electors.isQuorum(agreeing);
  }
}
