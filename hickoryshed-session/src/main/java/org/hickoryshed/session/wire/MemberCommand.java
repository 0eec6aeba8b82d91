package org.hickoryshed.session.wire;

/** A command of this process to a member, which returns its status as the only row. */
public sealed interface MemberCommand {

  /** Only returns the status. */
  record ReportStatus() implements MemberCommand {}

  /**
   * Makes the member a replica if it is the primary of a lower term.
   *
   * @param term The term.
   */
  record StepDown(long term) implements MemberCommand {}
}
