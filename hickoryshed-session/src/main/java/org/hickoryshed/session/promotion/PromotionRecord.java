package org.hickoryshed.session.promotion;

/**
 * The stored record of the last promotion that was requested for a pool.
 *
 * @param holder The name of the proxy that requested the promotion.
 * @param generation The generation number, which only rises within a pool and serves as a fencing
 *     token.
 * @param member The identifier of the member to promote.
 * @param recordedMillis The time at which the record was written, in milliseconds since the epoch.
 */
public record PromotionRecord(String holder, long generation, String member, long recordedMillis) {}
