package org.hickoryshed.decision.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants the tokens of the slots that one proxy holds.
 *
 * <p>A request that arrives twice is granted twice; the second grant is lost, which is safe.
 */
public final class QuotaGranter {

  private final FleetView fleet;

  /** The buckets of the slots in use, by workspace. */
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /**
   * Creates a granter.
   *
   * @param fleet The proxy's view of the fleet.
   */
  public QuotaGranter(FleetView fleet) {
    this.fleet = fleet;
  }

  /**
   * Grants tokens of a workspace.
   *
   * @param workspace The name of the workspace.
   * @param plan The plan in force for it.
   * @param wanted The number of tokens wanted.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The grant.
   */
  public Grant grant(String workspace, QuotaPlan plan, int wanted, long now) {
    int held = fleet.takesPart(now) ? fleet.slotsHeld(workspace, plan.slots()) : 0;
    if (held == 0) {
      buckets.remove(workspace);
      return Grant.NOT_HOLDER;
    }
    // A bucket without requests since the view changed was not touched, so it filled up since.
    TokenBucket bucket =
        buckets.computeIfAbsent(workspace, key -> new TokenBucket(plan, held, fleet.changedAt()));
    bucket.apply(plan, held, now);
    int tokens = bucket.take(wanted, now);
    return new Grant(tokens, tokens < wanted ? bucket.waitMillis() : 0);
  }

  /**
   * Forgets the buckets that are full, which are created anew when they are needed, and those of
   * slots that this proxy holds no more. To be called about once a second.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void tidy(long now) {
    buckets
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().isFull(now)
                    || fleet.slotsHeld(entry.getKey(), entry.getValue().slots()) == 0);
  }

  /**
   * Returns the number of workspaces whose tokens were granted lately.
   *
   * @return The number.
   */
  public int size() {
    return buckets.size();
  }

  /**
   * The answer to a request for tokens.
   *
   * @param tokens The number of tokens granted, at most the number wanted.
   * @param waitMillis The time in milliseconds after which to ask again, zero if all that was
   *     wanted was granted, negative if this proxy holds no slot of the workspace.
   */
  public record Grant(int tokens, long waitMillis) {

    /** The answer of a proxy that holds no slot. */
    static final Grant NOT_HOLDER = new Grant(0, -1);
  }
}
