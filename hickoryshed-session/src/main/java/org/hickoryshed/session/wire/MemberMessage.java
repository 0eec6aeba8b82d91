package org.hickoryshed.session.wire;

import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;

/** A message of a member. */
public sealed interface MemberMessage {

  /**
   * The member is ready for the next statement.
   *
   * @param state The state of the session at the member.
   * @param position The position of the member's log, if it states one.
   */
  record Ready(TransactionState state, Optional<LogPosition> position) implements MemberMessage {}

  /**
   * A row of an answer.
   *
   * @param data The data of the row.
   */
  record Row(String data) implements MemberMessage {}

  /**
   * The end of an answer to a statement that ran.
   *
   * @param proof The member's proof that it ran the statement, empty for a statement of the proxy.
   */
  record Done(Optional<String> proof) implements MemberMessage {}

  /**
   * The end of an answer to a statement that failed.
   *
   * @param kind How it failed.
   * @param text The text of the member.
   */
  record Failure(FailureKind kind, String text) implements MemberMessage {}

  /**
   * A message that can't be read.
   *
   * @param detail What is wrong with it.
   */
  record Unreadable(String detail) implements MemberMessage {}
}
