package org.hickoryshed.session.caller;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;

/**
 * Holds the success of a statement back while it is not certain that the member still was the
 * primary, since what the statement made durable may be lost then.
 *
 * <p>A process that just woke has no right to use the primary until other processes answer, so the
 * success waits for them for a short time.
 *
 * <p>Confined to the thread of the event loop.
 */
final class AcknowledgementGuard {

  /** The longest time that a success is held back, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 200;

  private static final long POLL_INTERVAL_MILLIS = 10;

  private final SessionContext context;

  private final StatementContext statement;

  AcknowledgementGuard(SessionContext context, StatementContext statement) {
    this.context = context;
    this.statement = statement;
  }

  /**
   * Checks if a member was not replaced before it responded; the result comes at once if it is
   * clear.
   *
   * @param member The member.
   * @param result Receives {@code false} if the member may have been replaced.
   */
  void check(Optional<MemberConnectionPool> member, Consumer<Boolean> result) {
    check(member, result, MAX_WAIT_MILLIS / POLL_INTERVAL_MILLIS);
  }

  private void check(
      Optional<MemberConnectionPool> member, Consumer<Boolean> result, long pollsLeft) {
    Optional<Database> database = context.database(statement.route());
    if (!statement.mayBeLost(member, database)) {
      result.accept(true);
    } else if (pollsLeft == 0
        || database.flatMap(known -> member.map(known::isSuspended)).orElse(true)) {
      result.accept(false);
    } else {
      context.loop().schedule(POLL_INTERVAL_MILLIS, () -> check(member, result, pollsLeft - 1));
    }
  }
}
