package org.hickoryshed.decision.directory;

import java.util.List;
import java.util.OptionalLong;

/**
 * A list of all registered members.
 *
 * @param revision The revision of the store up to which all changes are included; some later ones
 *     may be included too.
 * @param lastChangeRevision The revision of the latest change of any member, empty if it is not
 *     known.
 * @param entries The entries of all members.
 */
public record MemberList(
    long revision, OptionalLong lastChangeRevision, List<MemberEntry> entries) {

  /**
   * Returns the latest revision of a change of the entries up to which all changes are included.
   *
   * @return The revision, zero without entries.
   */
  public long latestCompleteRevision() {
    long latest = entries.stream().mapToLong(MemberEntry::revision).max().orElse(0);
    return Math.min(latest, revision);
  }
}
