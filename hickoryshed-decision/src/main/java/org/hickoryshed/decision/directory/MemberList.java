package org.hickoryshed.decision.directory;

import java.util.List;

/**
 * All registered members at one moment.
 *
 * @param version The revision of the store that the list shows; it only rises.
 * @param entries The entries.
 */
public record MemberList(long version, List<MemberEntry> entries) {}
