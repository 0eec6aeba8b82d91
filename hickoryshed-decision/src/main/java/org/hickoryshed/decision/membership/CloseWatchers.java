package org.hickoryshed.decision.membership;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Chooses the proxies that renew their watches of the directory often.
 *
 * <p>Each call to the store is counted, and a watch that went silent shows only when it is renewed.
 * A few proxies of each failure domain renew theirs often; their heartbeats tell the others that
 * there is something new.
 */
public final class CloseWatchers {

  /** The number of proxies of a failure domain that renew their watches often. */
  private static final int WATCHERS = 3;

  /** What the proxies are ordered by. */
  private static final String KEY = "directory";

  /** This class is not instantiated. */
  private CloseWatchers() {}

  /**
   * Checks if a proxy is to renew its watches often.
   *
   * @param proxy The name of the proxy.
   * @param neighbours The names of the other proxies of its failure domain that are alive.
   * @return {@code true} if it is one of the few.
   */
  public static boolean includes(String proxy, Collection<String> neighbours) {
    List<String> all = Stream.concat(neighbours.stream(), Stream.of(proxy)).toList();
    return Rendezvous.order(KEY, all, Function.identity()).stream()
        .limit(WATCHERS)
        .anyMatch(proxy::equals);
  }
}
