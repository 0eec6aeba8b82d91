package org.hickoryshed.session.takeover;

/** The port to the service that makes a member the primary. */
public interface PromotionService {

  /**
   * Orders that a member leads.
   *
   * @param pool The pool.
   * @param record The recorded order.
   * @return What became of it.
   */
  Outcome promote(String pool, TakeoverRecord record);

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
