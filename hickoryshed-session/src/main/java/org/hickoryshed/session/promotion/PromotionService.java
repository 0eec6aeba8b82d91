package org.hickoryshed.session.promotion;

import java.time.Duration;

/** Client of the external service that promotes a member to primary. */
public interface PromotionService {

  /**
   * Requests the promotion of a member; blocks until the service responds or the timeout ends.
   *
   * @param pool The name of the pool.
   * @param record The recorded promotion. Its number serves as the fencing token of the request.
   * @param timeout The longest time to wait for a response.
   * @return The outcome.
   */
  Outcome promote(String pool, PromotionRecord record, Duration timeout);

  /**
   * The outcome of a promotion request. The text form of each outcome appears in the event log, so
   * the names of these types and their components are fixed.
   */
  sealed interface Outcome {

    /** The service accepted the request; the member becomes the primary soon. */
    record Accepted() implements Outcome {}

    /**
     * The service refused the request, which therefore has no effect.
     *
     * @param detail The reason.
     */
    record Refused(String detail) implements Outcome {}

    /**
     * No usable response arrived; the promotion may take effect now, seconds later, or never.
     *
     * @param detail What went wrong.
     */
    record Unknown(String detail) implements Outcome {}
  }
}
