/**
 * Admission control, scheduling and connection pooling for one database member.
 *
 * <p>{@link org.hickoryshed.decision.pool.MemberScheduler} is the entry point. It performs no I/O
 * and reads no clock: the caller passes in events and carries out the returned commands.
 */
package org.hickoryshed.decision.pool;
