package org.hickoryshed.proxy.frontend;

import java.util.Optional;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.route.RetryBudget;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.TransactionId;

/**
 * The way of work that only a primary may do: at most once, to the primary of the latest term.
 *
 * @param forwarder The forwarder.
 * @param locator The locator.
 * @param budget The budget of retries.
 */
record WriteExecutor(Forwarder forwarder, DatabaseStateCache locator, RetryBudget budget) {

  /** The pause before a retry in milliseconds. */
  private static final long RETRY_PAUSE = 10;

  /**
   * Runs work at the primary.
   *
   * @param request The request.
   * @param kind The kind of the work.
   * @return The outcome and the transaction that was begun.
   */
  Message.Executed execute(CallerRequest request, Work.Kind kind) {
    budget.onFirstTry();
    WriteRetryState attempts = new WriteRetryState(isRepeatable(request, kind));
    while (true) {
      Optional<Member> primary = locator.findPrimary(request.database());
      if (primary.isPresent()) {
        Message.Executed executed =
            forwarder.execute(primary.get(), message(request, kind, primary.get()));
        learn(request.database(), primary.get(), executed);
        if (!attempts.recordAttempt(executed.outcome())) {
          return new Message.Executed(
              attempts.outcome(), executed.status(), executed.transaction());
        }
      }
      if (request.isExpired() || (attempts.mayHaveRun() && !budget.tryRetry())) {
        return new Message.Executed(attempts.outcome(), Optional.empty());
      }
      Pause.millis(RETRY_PAUSE);
    }
  }

  /**
   * Runs work of an open transaction, which is never retried.
   *
   * @param request The request.
   * @param transaction The transaction.
   * @param kind The kind of the work.
   * @param commit {@code true} if the end of the transaction is a commit.
   * @return The outcome.
   */
  Outcome executeInTransaction(
      CallerRequest request, TransactionId transaction, Work.Kind kind, boolean commit) {
    Message.Execute message =
        new Message.Execute(
            transaction.database(),
            transaction.member(),
            request.label(),
            kind,
            request.statement(),
            LogPosition.ORIGIN,
            request.key(),
            Optional.of(transaction),
            commit,
            request.route().priority(),
            request.remainingMillis());
    return forwarder.executeOnVm(transaction.vm(), message).outcome();
  }

  /**
   * Takes what an answer tells of the primary.
   *
   * @param database The database.
   * @param member The member that was taken for the primary.
   * @param executed The answer.
   */
  private void learn(Database database, Member member, Message.Executed executed) {
    executed.status().ifPresent(status -> locator.updateStatus(database, status));
    if (!(executed.outcome() instanceof Outcome.Done)) {
      locator.invalidateMember(database, member.name());
    }
  }

  /**
   * Checks if a request may be sent twice.
   *
   * @param request The request.
   * @param kind The kind of the work.
   * @return {@code true} if a key guards the effect or there is no effect yet.
   */
  private static boolean isRepeatable(CallerRequest request, Work.Kind kind) {
    return request.key().isPresent() || kind == Work.Kind.BEGIN;
  }

  /**
   * Creates the message for a pooler.
   *
   * @param request The request.
   * @param kind The kind of the work.
   * @param primary The primary.
   * @return The message.
   */
  private static Message.Execute message(CallerRequest request, Work.Kind kind, Member primary) {
    return new Message.Execute(
        request.database().name(),
        primary.name(),
        request.label(),
        kind,
        request.statement(),
        LogPosition.ORIGIN,
        request.key(),
        Optional.empty(),
        false,
        request.route().priority(),
        request.remainingMillis());
  }
}
