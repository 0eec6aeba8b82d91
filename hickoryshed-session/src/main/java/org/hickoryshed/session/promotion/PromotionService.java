package org.hickoryshed.session.promotion;

import java.time.Duration;

/** The port to the service that makes a member the primary. */
public interface PromotionService {

  /**
   * Orders that a member leads.
   *
   * @param pool The pool.
   * @param record The recorded order.
   * @param timeout The longest time to wait for an answer.
   * @return What became of it.
   */
  Outcome promote(String pool, PromotionRecord record, Duration timeout);

  /** What became of an order. */
  sealed interface Outcome {

    /** The order is accepted; the member leads soon. */
    record Accepted() implements Outcome {}

    /**
     * The order is refused; it has no effect.
     *
     * @param detail The reason.
     */
    record Refused(String detail) implements Outcome {}

    /**
     * The order may be carried out, now or seconds later.
     *
     * @param detail What is known.
     */
    record Unknown(String detail) implements Outcome {}
  }
}
