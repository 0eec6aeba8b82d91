package org.hickoryshed.decision.failover;

/**
 * The timeouts of a {@link PrimaryFailureDetector}.
 *
 * @param silentMillis The time in milliseconds without a response after which the primary is
 *     suspected.
 * @param refusedMillis The time in milliseconds after which a primary that refuses connections is
 *     suspected.
 * @param stalledMillis The time in milliseconds without replication progress after which the
 *     primary is replaced.
 * @param rankStepMillis The additional delay in milliseconds for each rank, so that candidates act
 *     one after the other.
 */
public record SuspicionTimeouts(
    long silentMillis, long refusedMillis, long stalledMillis, long rankStepMillis) {}
