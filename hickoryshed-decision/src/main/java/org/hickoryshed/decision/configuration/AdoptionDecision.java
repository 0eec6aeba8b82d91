package org.hickoryshed.decision.configuration;

/** What a process does with a document that was offered by the store or by a peer. */
public enum AdoptionDecision {

  /** The offered revision is higher and comes into force. */
  ADOPT,

  /** The offered revision is in force already. */
  KEEP,

  /** The offered revision is lower: the source went backwards or lags and is not followed. */
  REFUSE_LOWER;

  /**
   * Decides on an offer.
   *
   * @param inForce The revision that is in force.
   * @param offered The revision that is offered.
   * @return What to do.
   */
  public static AdoptionDecision of(long inForce, long offered) {
    if (offered > inForce) {
      return ADOPT;
    }
    return offered == inForce ? KEEP : REFUSE_LOWER;
  }
}
