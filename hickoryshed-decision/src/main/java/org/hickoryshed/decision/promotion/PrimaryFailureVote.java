package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.Map;

/**
 * A vote among the proxies on whether a primary has failed.
 *
 * <p>A single proxy that reaches the primary keeps it in place: a broken link between another proxy
 * and the primary is no reason to replace it.
 *
 * <p>The caller must count proxies that fell silent only recently among the voters. During a
 * network partition, only the larger part then gets responses from more than half of them and can
 * replace the primary. Not thread-safe.
 */
public final class PrimaryFailureVote {

  /** The number of proxies that vote. */
  private final int voters;

  /** Whether a proxy reaches the primary, by the name of the proxy. */
  private final Map<String, Boolean> responses = new HashMap<>();

  /**
   * Creates a vote without responses.
   *
   * @param voters The number of proxies that vote.
   */
  public PrimaryFailureVote(int voters) {
    this.voters = voters;
  }

  /**
   * Records the response of a proxy; a later response of the same proxy replaces it.
   *
   * @param proxy The name of the proxy.
   * @param reachable {@code true} if the proxy reaches the primary.
   */
  public void recordResponse(String proxy, boolean reachable) {
    responses.put(proxy, reachable);
  }

  /**
   * Evaluates the responses so far. Until the vote is over, it is decided only by a proxy that
   * reaches the primary or by the responses of all proxies.
   *
   * @param over {@code true} if no further response is awaited.
   * @return The verdict.
   */
  public Verdict verdict(boolean over) {
    if (responses.containsValue(true)) {
      return Verdict.ALIVE;
    }
    if (responses.size() >= voters) {
      return Verdict.FAILED;
    }
    if (!over) {
      return Verdict.OPEN;
    }
    return responses.size() * 2 > voters ? Verdict.FAILED : Verdict.OPEN;
  }

  /** The result of a vote. */
  public enum Verdict {
    /** Too few proxies have responded. */
    OPEN,
    /** At least one proxy reaches the primary. */
    ALIVE,
    /** More than half of the proxies responded, and none of them reaches the primary. */
    FAILED
  }
}
