package org.hickoryshed.decision.membership;

/** Whether a proxy watches the store, as it tells its peers. */
public enum StoreWatchState {
  /** The proxy watches the store, and the store answers. */
  WATCHING,
  /** The proxy does not call the store and relies on other proxies. */
  RESTING,
  /** The proxy calls the store but gets no answer. */
  CUT_OFF
}
