package org.hickoryshed.decision.directory;

import java.util.List;
import java.util.OptionalLong;

/**
 * All registered members at one moment.
 *
 * @param shown The revision of the store that the list shows.
 * @param changed The revision of the last change of the members, empty if it is not known.
 * @param entries The entries.
 */
public record MemberList(long shown, OptionalLong changed, List<MemberEntry> entries) {

  /**
   * Returns the highest revision of the entries.
   *
   * @return The revision, zero without entries.
   */
  public long highestRevision() {
    return entries.stream().mapToLong(MemberEntry::revision).max().orElse(0);
  }
}
