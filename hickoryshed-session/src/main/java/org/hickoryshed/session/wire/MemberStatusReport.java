package org.hickoryshed.session.wire;

import org.hickoryshed.decision.topology.LogPosition;

/**
 * What a member reports of itself when it is asked for its status.
 *
 * @param primary True if the member leads.
 * @param term The term that the member is in.
 * @param received The last position that the member received.
 */
public record MemberStatusReport(boolean primary, long term, LogPosition received) {}
