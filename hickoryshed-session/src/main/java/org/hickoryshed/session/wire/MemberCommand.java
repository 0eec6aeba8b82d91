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

  /**
   * Makes a replica receive nothing until a member is promoted, it is told to go on, or it
   * restarts.
   *
   * @param term A term above that of the primary.
   */
  record Pause(long term) implements MemberCommand {}

  /** Makes a replica that was paused receive again. */
  record Resume() implements MemberCommand {}
}
