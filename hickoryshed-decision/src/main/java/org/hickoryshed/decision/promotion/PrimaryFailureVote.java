package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.Map;

/**
 * A vote of the proxies on whether a primary has failed.
 *
 * <p>One proxy that reaches the primary is enough to keep it: a cut link between this proxy and the
 * primary is no reason to replace it. Proxies that fell silent a moment ago count among those that
 * were asked, so that of two parts of a system that lost each other only the larger one decides.
 */
public final class PrimaryFailureVote {

  /** The number of proxies that were asked. */
  private final int asked;

  /** What the proxies answered, by their names. */
  private final Map<String, Boolean> answers = new HashMap<>();

  /**
   * Creates a vote without answers.
   *
   * @param asked The number of proxies that were asked.
   */
  public PrimaryFailureVote(int asked) {
    this.asked = asked;
  }

  /**
   * Takes the answer of a proxy.
   *
   * @param proxy The name of the proxy.
   * @param reachable True if the proxy reaches the primary.
   */
  public void recordAnswer(String proxy, boolean reachable) {
    answers.put(proxy, reachable);
  }

  /**
   * Evaluates the answers so far.
   *
   * @param over True if no further answer is awaited.
   * @return What is known.
   */
  public Verdict verdict(boolean over) {
    if (answers.containsValue(true)) {
      return Verdict.ALIVE;
    }
    if (answers.size() >= asked) {
      return Verdict.FAILED;
    }
    if (!over) {
      return Verdict.OPEN;
    }
    return answers.size() * 2 > asked ? Verdict.FAILED : Verdict.OPEN;
  }

  /** What a vote found. */
  public enum Verdict {
    /** Too few proxies have answered. */
    OPEN,
    /** A proxy reaches the primary. */
    ALIVE,
    /** More than half of the asked proxies answered and none of them reaches the primary. */
    FAILED
  }
}
