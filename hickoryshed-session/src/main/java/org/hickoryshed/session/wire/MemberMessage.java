package org.hickoryshed.session.wire;

import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * A message from a member, decoded by {@link WireFormat#decodeMemberMessage}.
 *
 * <p>The response to a statement consists of its rows, then {@link Done} or {@link Failure}, then
 * {@link Ready}.
 */
public sealed interface MemberMessage {

  /**
   * The member is ready for the next statement.
   *
   * @param state The transaction state of the connection.
   * @param position The position of the member's log, empty if the member states none.
   */
  record Ready(TransactionState state, Optional<LogPosition> position) implements MemberMessage {}

  /**
   * One row of a result.
   *
   * @param data The row as the member wrote it.
   */
  record Row(String data) implements MemberMessage {}

  /**
   * The end of a result: the statement ran.
   *
   * @param proof The member's proof that it ran the statement, empty for a statement that this
   *     process sent for itself.
   */
  record Done(Optional<String> proof) implements MemberMessage {}

  /**
   * The statement failed or was refused.
   *
   * @param kind How it failed.
   * @param text The member's explanation for people.
   */
  record Failure(FailureKind kind, String text) implements MemberMessage {}

  /**
   * A message that can't be parsed.
   *
   * @param detail What is wrong with it.
   */
  record Unreadable(String detail) implements MemberMessage {}
}
