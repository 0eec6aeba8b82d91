package org.hickoryshed.decision.promotion;

/**
 * Tells how many replicas must report their logs before one of them may be promoted, so that no
 * acknowledged commit is lost.
 *
 * <p>The primary acknowledges a commit once the confirming replicas hold it. Any group of replicas
 * that leaves out fewer than these contains one that holds the commit, and the replica with the
 * latest log in the group holds all of them.
 *
 * @param replicas The number of replicas that may have confirmed commits.
 * @param confirmingReplicas The number of replicas that hold a commit before it is acknowledged;
 *     zero if the primary waits for none, so that a promotion may lose commits anyway.
 */
public record PromotionQuorum(int replicas, int confirmingReplicas) {

  /**
   * Checks whether acknowledged commits are held by replicas.
   *
   * @return {@code false} if the primary acknowledges commits that no replica holds yet.
   */
  public boolean protectsCommits() {
    return confirmingReplicas > 0;
  }

  /**
   * Returns the number of replicas that must report their logs.
   *
   * @return At least one, unless the primary waits for no replica.
   */
  public int requiredReports() {
    return protectsCommits() ? Math.max(1, replicas - confirmingReplicas + 1) : 0;
  }

  /**
   * Checks whether enough replicas reported their logs.
   *
   * @param reports The number of replicas that did.
   * @return {@code true} if the one with the latest log among them holds all acknowledged commits.
   */
  public boolean isReachedBy(int reports) {
    return reports >= requiredReports();
  }
}
