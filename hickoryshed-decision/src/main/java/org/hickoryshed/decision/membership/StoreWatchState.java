package org.hickoryshed.decision.membership;

/** Whether a proxy watches the store, as stated in its heartbeats. */
public enum StoreWatchState {
  /** The proxy watches the store, and the store responds. */
  WATCHING,
  /** The proxy does not call the store and relies on other proxies. */
  RESTING,
  /** The proxy calls the store but gets no response. */
  CUT_OFF
}
