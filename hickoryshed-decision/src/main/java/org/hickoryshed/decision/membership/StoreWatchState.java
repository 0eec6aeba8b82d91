package org.hickoryshed.decision.membership;

/** What a proxy knows of the store at first hand. */
public enum StoreWatchState {
  /** The store answered the proxy a moment ago. */
  WATCHING,
  /** The proxy does not call the store, as others tell it what changes. */
  RESTING,
  /** The proxy calls the store but gets no answer. */
  CUT_OFF
}
