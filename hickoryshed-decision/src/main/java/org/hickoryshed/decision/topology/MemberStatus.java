package org.hickoryshed.decision.topology;

import java.util.Optional;

/**
 * The status that a database member reports of itself.
 *
 * @param member The name of the member.
 * @param role The role of the member.
 * @param term The term of the member, below which it refuses everything.
 * @param logTerm The term of the last entry in the log of the member.
 * @param held The index of the last entry in the log of the member.
 * @param applied The index of the last entry that reads at the member see.
 * @param primary The name of the primary that the member knows for its term.
 */
public record MemberStatus(
    String member,
    Role role,
    long term,
    long logTerm,
    long held,
    long applied,
    Optional<String> primary) {

  /**
   * Returns the end of the log.
   *
   * @return The position of the last entry.
   */
  public LogPosition heldPosition() {
    return new LogPosition(logTerm, held);
  }

  /**
   * Returns the position that reads see.
   *
   * @return The position of the last applied entry.
   */
  public LogPosition appliedPosition() {
    return new LogPosition(logTerm, applied);
  }

  /**
   * Checks if this member takes writes.
   *
   * @return {@code true} if this member acts as primary in its term.
   */
  public boolean isPrimary() {
    return role == Role.PRIMARY;
  }
}
