package org.hickoryshed.session.promotion;

import java.util.Map;
import java.util.Optional;

/** Reads the last promotion records of all pools; blocks until the store responds or fails. */
public interface PromotionRecordReader {

  /**
   * Reads the records as they are in the store at some time during the call.
   *
   * @return The last record of each pool that has one, by the name of the pool; empty if the store
   *     does not respond.
   */
  Optional<Map<String, PromotionRecord>> readRecords();

  /**
   * Checks if a member registered itself as the primary, as the store holds it at some time during
   * the call.
   *
   * @param member The identifier of the member.
   * @return {@code false} also if it is not registered; empty if the store does not respond.
   */
  Optional<Boolean> isRegisteredAsPrimary(String member);
}
