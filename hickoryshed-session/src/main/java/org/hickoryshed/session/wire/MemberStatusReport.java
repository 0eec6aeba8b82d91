package org.hickoryshed.session.wire;

import org.hickoryshed.decision.topology.LogPosition;

/**
 * The status that a member reports of itself on request.
 *
 * @param primary {@code true} if the member considers itself the primary.
 * @param term The term that the member is in.
 * @param received The last log position that the member received.
 */
public record MemberStatusReport(boolean primary, long term, LogPosition received) {}
