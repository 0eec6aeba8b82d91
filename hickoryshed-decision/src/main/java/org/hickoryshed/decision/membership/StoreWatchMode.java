package org.hickoryshed.decision.membership;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * How closely a proxy is to watch the store.
 *
 * <p>Each call to the store is counted, a waiting one too. A few proxies of each failure domain
 * watch it and tell the others what changes. A watcher that the store turns away is replaced.
 */
public enum StoreWatchMode {
  /** Watch the store and try again soon after a failure. */
  WATCH,
  /** Try seldom whether the store answers again, as others watch it meanwhile. */
  TRY_SELDOM,
  /** Do not call the store. */
  REST;

  /** The number of proxies of a failure domain that watch the store. */
  private static final int WATCHERS = 3;

  /** The number of other watchers that suffices for a proxy to rely on them. */
  private static final int ENOUGH_WATCHERS = 2;

  /** What the proxies are ordered by. */
  private static final String KEY = "directory";

  /**
   * Decides on the duty of a proxy.
   *
   * @param proxy The name of the proxy.
   * @param own What the proxy knows of the store.
   * @param neighbours What the other proxies of its failure domain that are alive know of it.
   * @return The duty.
   */
  public static StoreWatchMode of(
      String proxy, StoreWatchState own, Map<String, StoreWatchState> neighbours) {
    long watching =
        neighbours.values().stream().filter(access -> access == StoreWatchState.WATCHING).count();
    if (watching < ENOUGH_WATCHERS) {
      return WATCH;
    }
    if (own == StoreWatchState.CUT_OFF) {
      return TRY_SELDOM;
    }
    return isChosen(proxy, neighbours) ? WATCH : REST;
  }

  /**
   * Checks if a proxy is one of the watchers.
   *
   * @param proxy The name of the proxy, which is not cut off from the store.
   * @param neighbours What the other proxies of its failure domain know of the store.
   * @return {@code true} if it is one of the first that are not cut off.
   */
  private static boolean isChosen(String proxy, Map<String, StoreWatchState> neighbours) {
    Stream<String> usable =
        neighbours.entrySet().stream()
            .filter(entry -> entry.getValue() != StoreWatchState.CUT_OFF)
            .map(Map.Entry::getKey);
    return RendezvousHashing.order(
            KEY, Stream.concat(usable, Stream.of(proxy)).toList(), Function.identity())
        .stream()
        .limit(WATCHERS)
        .anyMatch(proxy::equals);
  }
}
