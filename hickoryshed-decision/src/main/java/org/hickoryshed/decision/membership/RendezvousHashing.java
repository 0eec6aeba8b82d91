package org.hickoryshed.decision.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** The rendezvous order of candidates for a key: each observer of one list finds the same order. */
public final class RendezvousHashing {

  /** This class is not instantiated. */
  private RendezvousHashing() {}

  /**
   * Orders candidates for a key.
   *
   * @param key The key.
   * @param candidates The candidates.
   * @param name The function that names a candidate.
   * @param <T> The type of the candidates.
   * @return The candidates, most preferred first.
   */
  public static <T> List<T> order(
      String key, Collection<T> candidates, Function<? super T, String> name) {
    Comparator<T> byWeight =
        Comparator.comparingLong(candidate -> weight(key, name.apply(candidate)));
    return candidates.stream().sorted(byWeight.reversed().thenComparing(name)).toList();
  }

  /**
   * Weighs a candidate for a key.
   *
   * @param key The key.
   * @param candidate The name of the candidate.
   * @return The weight.
   */
  private static long weight(String key, String candidate) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(candidate).getAsLong();
  }
}
