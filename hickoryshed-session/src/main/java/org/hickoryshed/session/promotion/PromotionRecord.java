package org.hickoryshed.session.promotion;

/**
 * The record of the last order to replace the primary of a pool.
 *
 * @param holder The name of the proxy that gave the order.
 * @param number The generation number of the order, which only rises.
 * @param member The identifier of the member that is to lead.
 * @param orderedMillis The time of the order in milliseconds since the epoch.
 */
public record PromotionRecord(String holder, long number, String member, long orderedMillis) {}
