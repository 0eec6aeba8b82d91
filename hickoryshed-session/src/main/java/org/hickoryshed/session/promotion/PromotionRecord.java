package org.hickoryshed.session.promotion;

/**
 * The stored record of the last promotion that was requested for a pool.
 *
 * @param holder The name of the proxy that requested the promotion.
 * @param number The generation number, which only rises within a pool and serves as a fencing
 *     token.
 * @param member The identifier of the member to promote.
 * @param orderedMillis The time of the record in milliseconds since the epoch.
 */
public record PromotionRecord(String holder, long number, String member, long orderedMillis) {}
