package org.hickoryshed.decision.membership;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * How a proxy follows changes in the store.
 *
 * <p>Each call to the store costs money, including one that only waits for changes. Therefore only
 * a few proxies of each failure domain watch the store and tell the others what changes. A watcher
 * to which the store does not respond is replaced.
 */
public enum StoreWatchMode {
  /** Watches the store, and retries soon after a failure. */
  WATCH,
  /**
   * Retries the store at long intervals, because it did not respond to this proxy but others watch.
   */
  TRY_SELDOM,
  /** Does not call the store; other proxies pass the changes on. */
  REST;

  /** The number of proxies of a failure domain that watch the store. */
  private static final int WATCHERS = 3;

  /** The number of other watchers from which on a proxy relies on them. */
  private static final int ENOUGH_WATCHERS = 2;

  /** The key by which all proxies rank each other in the same order. */
  private static final String KEY = "directory";

  /**
   * Decides how a proxy follows the store.
   *
   * @param proxy The name of the proxy.
   * @param own The watch state of the proxy.
   * @param others The watch states of the other live proxies of its failure domain by name.
   * @return The mode.
   */
  public static StoreWatchMode of(
      String proxy, StoreWatchState own, Map<String, StoreWatchState> others) {
    long watching =
        others.values().stream().filter(state -> state == StoreWatchState.WATCHING).count();
    if (watching < ENOUGH_WATCHERS) {
      return WATCH;
    }
    if (own == StoreWatchState.CUT_OFF) {
      return TRY_SELDOM;
    }
    return isWatcher(proxy, others) ? WATCH : REST;
  }

  /**
   * Checks whether a proxy that is not cut off ranks among the first {@link #WATCHERS} of the
   * proxies that are not cut off.
   */
  private static boolean isWatcher(String proxy, Map<String, StoreWatchState> others) {
    Stream<String> connected =
        others.entrySet().stream()
            .filter(entry -> entry.getValue() != StoreWatchState.CUT_OFF)
            .map(Map.Entry::getKey);
    return RendezvousHashing.order(
            KEY, Stream.concat(connected, Stream.of(proxy)).toList(), Function.identity())
        .stream()
        .limit(WATCHERS)
        .anyMatch(proxy::equals);
  }
}
