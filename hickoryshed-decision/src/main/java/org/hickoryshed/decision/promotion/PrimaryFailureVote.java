package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.Map;

/**
 * A vote among the proxies on whether a primary has failed.
 *
 * <p>A single proxy that reaches the primary keeps it in place: a broken link between another proxy
 * and the primary is no reason to replace it.
 *
 * <p>The caller must count proxies that fell silent only recently among those it asked. During a
 * network partition, only the larger part then gets answers from more than half of them and can
 * replace the primary. Not thread-safe.
 */
public final class PrimaryFailureVote {

  /** The number of proxies that were asked. */
  private final int asked;

  /** Whether a proxy reaches the primary, by the name of the proxy. */
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
   * Records the answer of a proxy; a later answer of the same proxy replaces it.
   *
   * @param proxy The name of the proxy.
   * @param reachable {@code true} if the proxy reaches the primary.
   */
  public void recordAnswer(String proxy, boolean reachable) {
    answers.put(proxy, reachable);
  }

  /**
   * Evaluates the answers so far. Until the vote is over, it is decided only by a proxy that
   * reaches the primary or by the answers of all proxies.
   *
   * @param over {@code true} if no further answer is awaited.
   * @return The verdict.
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

  /** The result of a vote. */
  public enum Verdict {
    /** Too few proxies have answered. */
    OPEN,
    /** At least one proxy reaches the primary. */
    ALIVE,
    /** More than half of the proxies answered, and none of them reaches the primary. */
    FAILED
  }
}
