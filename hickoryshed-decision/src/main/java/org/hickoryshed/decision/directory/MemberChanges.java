package org.hickoryshed.decision.directory;

import java.util.List;
import java.util.Set;

/**
 * The changes of the registered members since an earlier revision of the store.
 *
 * @param revision The revision of the store up to which the changes are included.
 * @param changed The new and changed entries.
 * @param removed The identifiers of the members whose registration ended.
 */
public record MemberChanges(long revision, List<MemberEntry> changed, Set<String> removed) {}
