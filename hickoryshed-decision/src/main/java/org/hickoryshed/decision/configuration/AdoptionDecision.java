package org.hickoryshed.decision.configuration;

/** Decides whether a process adopts the revision of a document that the store or a peer offers. */
public enum AdoptionDecision {

  /** The offered revision is higher: it replaces the current one. */
  ADOPT,

  /** The offered revision is the current one. */
  KEEP,

  /** The offered revision is lower: the source went backwards or lags, and is ignored. */
  REFUSE_LOWER;

  /**
   * Decides on an offered revision.
   *
   * @param current The revision that is in force.
   * @param offered The offered revision.
   * @return The decision.
   */
  public static AdoptionDecision of(long current, long offered) {
    if (offered > current) {
      return ADOPT;
    }
    return offered == current ? KEEP : REFUSE_LOWER;
  }
}
