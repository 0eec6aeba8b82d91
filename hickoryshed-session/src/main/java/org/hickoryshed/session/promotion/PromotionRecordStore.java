package org.hickoryshed.session.promotion;

/** The port to the records of orders, which every proxy sees in one order. */
public interface PromotionRecordStore {

  /**
   * Writes a record if the present one is the known one.
   *
   * @param pool The pool.
   * @param revision The revision of the known record, zero if none is known.
   * @param record The record to write.
   * @return What became of it.
   */
  Claim writeIfUnchanged(String pool, long revision, PromotionRecord record);

  /** What became of the write of a record. */
  sealed interface Claim {

    /**
     * The record was written.
     *
     * @param revision Its revision.
     */
    record Written(long revision) implements Claim {}

    /**
     * Another record stands there.
     *
     * @param present The record.
     * @param revision Its revision.
     */
    record Conflict(PromotionRecord present, long revision) implements Claim {}

    /**
     * The record may or may not have been written.
     *
     * @param detail What is known.
     */
    record Unknown(String detail) implements Claim {}
  }
}
