package org.hickoryshed.session.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Reports the promotions of other proxies whose records are read from the store.
 *
 * <p>A record stays in the store until the next promotion of its pool. One that was there before
 * the store was read first is reported only if it is young by the wall clock.
 */
public final class StoredPromotions {

  /** The age up to which a record that is listed first may be of a promotion in progress. */
  private static final long MAX_AGE_MILLIS = 2000;

  /** The name of this proxy, whose own records are not reported. */
  private final String proxy;

  private final Executor executor;

  private final LongSupplier wallClockMillis;

  private final Listener listener;

  /** The last generation number of each pool that was read, by the name of the pool. */
  private final Map<String, Long> generations = new HashMap<>();

  /**
   * Creates an object that has read no record.
   *
   * @param proxy The name of this proxy.
   * @param executor Runs all tasks one after the other.
   * @param wallClockMillis The wall clock in milliseconds since the epoch.
   * @param listener Is told of the promotions of other proxies, by the executor.
   */
  public StoredPromotions(
      String proxy, Executor executor, LongSupplier wallClockMillis, Listener listener) {
    this.proxy = proxy;
    this.executor = executor;
    this.wallClockMillis = wallClockMillis;
    this.listener = listener;
  }

  /**
   * Handles a record that a list of the store contains; may be called by any thread.
   *
   * @param pool The name of the pool.
   * @param record The record.
   */
  public void onListed(String pool, PromotionRecord record) {
    long age = wallClockMillis.getAsLong() - record.recordedMillis();
    read(pool, record, Math.abs(age) <= MAX_AGE_MILLIS);
  }

  /**
   * Handles a record that was just written; may be called by any thread.
   *
   * @param pool The name of the pool.
   * @param record The record.
   */
  public void onChanged(String pool, PromotionRecord record) {
    read(pool, record, true);
  }

  private void read(String pool, PromotionRecord record, boolean newIfUnknown) {
    executor.execute(
        () -> {
          Long before = generations.get(pool);
          boolean later = before == null ? newIfUnknown : record.generation() > before;
          generations.merge(pool, record.generation(), Math::max);
          if (later && !record.holder().equals(proxy)) {
            listener.onPromotion(record.holder(), pool, record.member());
          }
        });
  }

  /** Is told of promotions. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles a promotion that another proxy recorded.
     *
     * @param holder The name of that proxy.
     * @param pool The name of the pool.
     * @param member The identifier of the member that is to be promoted.
     */
    void onPromotion(String holder, String pool, String member);
  }
}
