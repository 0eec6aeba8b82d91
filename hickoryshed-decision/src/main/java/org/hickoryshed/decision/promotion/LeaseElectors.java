package org.hickoryshed.decision.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The proxies whose word counts for the right to use a primary, and for a promotion that ends it.
 *
 * <p>Both need a quorum of the same electors, so they can't exist at the same time. All proxies of
 * a small system are electors. Of a larger one a few are, chosen by their names; there, a quorum is
 * larger than half, since proxies that come and go may let two proxies choose different electors.
 *
 * @param names The names of the electors.
 */
public record LeaseElectors(Set<String> names) {

  /** The greatest number of electors. */
  public static final int MAX_ELECTORS = 9;

  /** A quorum of {@link #MAX_ELECTORS} chosen ones: two such sets may differ in two electors. */
  private static final int LARGE_QUORUM = 6;

  /** The factor of Fibonacci hashing, which spreads similar names. */
  private static final int SPREAD = 0x9E3779B9;

  /** Copies the names. */
  public LeaseElectors {
    names = Set.copyOf(names);
  }

  /**
   * Chooses the electors.
   *
   * @param fleet The names of all proxies that are, or recently were, part of the system.
   * @return The electors.
   */
  public static LeaseElectors of(Collection<String> fleet) {
    if (fleet.size() <= MAX_ELECTORS) {
      return new LeaseElectors(Set.copyOf(fleet));
    }
    return new LeaseElectors(
        new TreeSet<>(fleet)
            .stream()
                .sorted(Comparator.comparingInt(name -> name.hashCode() * SPREAD))
                .limit(MAX_ELECTORS)
                .collect(Collectors.toSet()));
  }

  /**
   * Checks if the word of some proxies is enough.
   *
   * @param agreeing The names of the proxies that gave their word; others than electors may be
   *     among them.
   */
  public boolean isQuorum(Collection<String> agreeing) {
    long count = names.stream().filter(agreeing::contains).count();
    return names.size() < MAX_ELECTORS ? count * 2 > names.size() : count >= LARGE_QUORUM;
  }
}
