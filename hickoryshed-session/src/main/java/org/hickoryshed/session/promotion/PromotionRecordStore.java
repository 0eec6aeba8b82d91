package org.hickoryshed.session.promotion;

/** Stores the last promotion record of each pool; all proxies see the writes in the same order. */
public interface PromotionRecordStore {

  /**
   * Returns the number that all new generation numbers have to exceed, because records with numbers
   * up to it may have been lost.
   */
  default long generationFloor() {
    return 0;
  }

  /**
   * Writes a record if the stored one still has the given revision; blocks until the store responds
   * or the call fails.
   *
   * @param pool The name of the pool.
   * @param revision The revision of the record that the caller knows, zero if it knows none.
   * @param record The record to write.
   * @return The outcome.
   */
  WriteOutcome writeIfUnchanged(String pool, long revision, PromotionRecord record);

  /** The outcome of a conditional write. */
  sealed interface WriteOutcome {

    /**
     * The record was written.
     *
     * @param revision The revision of the new record.
     */
    record Written(long revision) implements WriteOutcome {}

    /**
     * The stored record has another revision, so nothing was written.
     *
     * @param stored The stored record.
     * @param revision The revision of the stored record.
     */
    record Conflict(PromotionRecord stored, long revision) implements WriteOutcome {}

    /**
     * The record may or may not have been written.
     *
     * @param detail What went wrong.
     */
    record Unknown(String detail) implements WriteOutcome {}
  }
}
