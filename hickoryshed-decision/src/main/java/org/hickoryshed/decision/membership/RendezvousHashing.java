package org.hickoryshed.decision.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Orders candidates for a key by rendezvous (highest random weight) hashing.
 *
 * <p>All processes with the same candidates compute the same order, and adding or removing a
 * candidate does not change the relative order of the others.
 */
public final class RendezvousHashing {

  private RendezvousHashing() {}

  /**
   * Orders candidates for a key.
   *
   * @param key The key.
   * @param candidates The candidates.
   * @param name Returns the name by which a candidate is hashed.
   * @param <T> The type of the candidates.
   * @return The candidates, most preferred first.
   */
  public static <T> List<T> order(
      String key, Collection<T> candidates, Function<? super T, String> name) {
    Comparator<T> byWeight =
        Comparator.comparingLong(candidate -> weight(key, name.apply(candidate)));
    return candidates.stream().sorted(byWeight.reversed().thenComparing(name)).toList();
  }

  private static long weight(String key, String candidate) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(candidate).getAsLong();
  }
}
