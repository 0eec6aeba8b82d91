package org.hickoryshed.decision.failover;

/**
 * The limits of a suspicion.
 *
 * @param silentMillis The time in milliseconds without an answer after which a silent primary is
 *     suspected.
 * @param refusedMillis The time in milliseconds for which a primary refuses connections before it
 *     is suspected.
 * @param stalledMillis The time in milliseconds without replication progress after which a primary
 *     is suspected.
 * @param rankStepMillis The time in milliseconds that each candidate waits longer than the one
 *     before it.
 */
public record SuspicionTimeouts(
    long silentMillis, long refusedMillis, long stalledMillis, long rankStepMillis) {}
