package org.hickoryshed.decision.quota;

/**
 * The tokens of the slots of a workspace's quota that one proxy holds.
 *
 * <p>In any span of {@code t} seconds it gives out at most {@code capacity + rate x t} tokens, also
 * if the bucket before it was lost at the start of its own life: it starts empty.
 */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The interval over which refused requests are counted, in nanoseconds. */
  private static final long REFUSAL_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;

  /** The number of refusals in an interval that need no bound. */
  private static final int FEW_REFUSALS = 20;

  /** The time that each recent refusal adds to the wait, in milliseconds. */
  private static final long SPREAD_MILLIS = 10;

  private static final long MIN_WAIT_MILLIS = 1;

  private static final long MAX_WAIT_MILLIS = 500;

  private int slots;

  private double ratePerSecond;

  private double capacity;

  private double tokens;

  /** The time up to which tokens were added. */
  private long filledAt;

  private long refusalsSince;

  private int refusals;

  private int refusalsBefore;

  /**
   * Creates a bucket.
   *
   * @param plan The plan of the workspace.
   * @param held The number of slots that the bucket stands for.
   * @param emptyAt When the bucket was certainly empty, in nanoseconds.
   */
  TokenBucket(QuotaPlan plan, int held, long emptyAt) {
    slots = plan.slots();
    ratePerSecond = held * plan.slotRatePerSecond();
    capacity = held * plan.slotCapacity();
    filledAt = emptyAt;
    refusalsSince = emptyAt;
  }

  /** Applies a plan; tokens above a lower capacity are lost. */
  void apply(QuotaPlan plan, int held, long now) {
    fill(now);
    slots = plan.slots();
    ratePerSecond = held * plan.slotRatePerSecond();
    capacity = held * plan.slotCapacity();
    tokens = Math.min(tokens, capacity);
  }

  /** Takes whole tokens, at most as many as wanted and as there are. */
  int take(int wanted, long now) {
    fill(now);
    int taken = (int) Math.min(wanted, Math.floor(tokens));
    tokens -= taken;
    if (taken < wanted) {
      countRefusal(now);
    }
    return taken;
  }

  /**
   * Returns the time after which a proxy that was refused may ask again: the time until there is a
   * token, and more if many were refused lately, which bounds the number of requests.
   */
  long waitMillis() {
    double untilToken = 1000 * (1 - tokens) / Math.max(ratePerSecond, 1e-3);
    int recent = Math.max(refusalsBefore, refusals);
    double spread = recent > FEW_REFUSALS ? SPREAD_MILLIS * recent : 0;
    double wait = Math.max(untilToken, spread);
    return (long) Math.ceil(Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, wait)));
  }

  /** Returns the number of slots that the workspace has. */
  int slots() {
    return slots;
  }

  /** Checks if the bucket holds all that it can hold, so that nothing is lost by forgetting it. */
  boolean isFull(long now) {
    fill(now);
    return tokens >= capacity;
  }

  private void countRefusal(long now) {
    if (now - refusalsSince > REFUSAL_INTERVAL_NANOS) {
      refusalsBefore = now - refusalsSince > 2 * REFUSAL_INTERVAL_NANOS ? 0 : refusals;
      refusals = 0;
      refusalsSince = now;
    }
    refusals++;
  }

  private void fill(long now) {
    if (now - filledAt > 0) {
      tokens = Math.min(capacity, tokens + (now - filledAt) / NANOS_PER_SECOND * ratePerSecond);
      filledAt = now;
    }
  }
}
