package org.hickoryshed.decision.directory;

import java.util.List;
import java.util.Set;

/**
 * Changes of the registered members since an earlier moment.
 *
 * @param version The revision of the store that shows the last of the changes.
 * @param changed The new and changed entries.
 * @param ended The identifiers of the members whose entries ended.
 */
public record MemberChanges(long version, List<MemberEntry> changed, Set<String> ended) {}
