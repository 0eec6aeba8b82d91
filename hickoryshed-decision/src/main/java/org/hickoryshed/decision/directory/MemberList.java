package org.hickoryshed.decision.directory;

import java.util.List;
import java.util.OptionalLong;

/**
 * A snapshot of all registered members.
 *
 * @param revision The revision of the store that the snapshot reflects.
 * @param lastChangeRevision The revision of the latest change of any member, empty if it is not
 *     known.
 * @param entries The entries of all members.
 */
public record MemberList(
    long revision, OptionalLong lastChangeRevision, List<MemberEntry> entries) {

  /**
   * Returns the highest revision among the entries.
   *
   * @return The revision, zero without entries.
   */
  public long highestRevision() {
    return entries.stream().mapToLong(MemberEntry::revision).max().orElse(0);
  }
}
