package org.hickoryshed.decision.topology;

import java.util.Optional;

/**
 * The status that a database member reports about itself.
 *
 * @param member The name of the member.
 * @param role The role of the member.
 * @param term The term of the member; it refuses requests of lower terms.
 * @param logTerm The term of the last entry in its log.
 * @param held The index of the last entry in its log.
 * @param applied The index of the last applied entry, which is the state that reads see.
 * @param primary The name of the primary of its term, empty if the member knows none.
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
   * @return The position of the last applied entry, with the term of the end of the log.
   */
  public LogPosition appliedPosition() {
    return new LogPosition(logTerm, applied);
  }

  /**
   * Checks whether this member accepts writes.
   *
   * @return {@code true} if this member acts as the primary of its term; a member of a later term
   *     may have replaced it.
   */
  public boolean isPrimary() {
    return role == Role.PRIMARY;
  }
}
