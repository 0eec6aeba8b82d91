package org.hickoryshed.decision.balancing;

/**
 * What a selection found about one member.
 *
 * @param candidate What was known of the member.
 * @param verdict Whether the member was eligible, and why.
 */
public record Assessment(ReaderCandidate candidate, Verdict verdict) {

  /** Whether a member was eligible for a read. */
  public sealed interface Verdict {}

  /**
   * The member was eligible.
   *
   * @param share The probability with which one draw yields the member.
   */
  public record Eligible(double share) implements Verdict {}

  /**
   * The member can't serve the read.
   *
   * @param obstacle The reason.
   */
  public record Unable(ReaderCandidate.Obstacle obstacle) implements Verdict {}

  /** The member was spared because its responses fail. */
  public record Distrusted() implements Verdict {}

  /** The member was spared because there is room elsewhere. */
  public record Full() implements Verdict {}
}
