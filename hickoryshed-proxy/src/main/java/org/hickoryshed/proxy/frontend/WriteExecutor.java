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
 * Runs writes and transactions at the primary of the latest term, so that each takes effect at most
 * once.
 *
 * @param forwarder Sends requests to the poolers of members.
 * @param stateCache What is known of the members of each database.
 * @param retryBudget Limits retries to a share of all requests.
 */
record WriteExecutor(Forwarder forwarder, DatabaseStateCache stateCache, RetryBudget retryBudget) {

  private static final long RETRY_INTERVAL_MILLIS = 10;

  /**
   * Runs a write, the begin of a transaction or the cancellation of an idempotency key at the
   * primary. Blocks until the outcome is final, the deadline passed or the retry budget is used up.
   *
   * @return The outcome, and the transaction if one was begun.
   */
  Message.Executed execute(CallerRequest request, Work.Kind kind) {
    retryBudget.onFirstTry();
    WriteRetryState retryState = new WriteRetryState(isRepeatable(request, kind));
    while (true) {
      Optional<Member> primary = stateCache.findPrimary(request.database());
      if (primary.isPresent()) {
        Message.Executed executed =
            forwarder.execute(primary.get(), message(request, kind, primary.get()));
        updateState(request.database(), primary.get(), executed);
        if (!retryState.recordAttempt(executed.outcome())) {
          return new Message.Executed(
              retryState.outcome(), executed.status(), executed.transaction());
        }
      }
      if (request.isExpired() || (retryState.mayHaveRun() && !retryBudget.tryRetry())) {
        return new Message.Executed(retryState.outcome(), Optional.empty());
      }
      Pause.millis(RETRY_INTERVAL_MILLIS);
    }
  }

  /**
   * Runs a statement or the end of an open transaction, which is never retried.
   *
   * @param commit {@code true} if the end of the transaction is a commit.
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
   * Updates the cached state after an attempt.
   *
   * @param member The member to which the attempt was sent as primary.
   */
  private void updateState(Database database, Member member, Message.Executed executed) {
    executed.status().ifPresent(status -> stateCache.updateStatus(database, status));
    if (!(executed.outcome() instanceof Outcome.Done)) {
      stateCache.invalidateMember(database, member.name());
    }
  }

  /**
   * Checks if a request may be sent again after an unknown outcome.
   *
   * @return {@code true} if an idempotency key guards the effect or there is no effect yet.
   */
  private static boolean isRepeatable(CallerRequest request, Work.Kind kind) {
    return request.key().isPresent() || kind == Work.Kind.BEGIN;
  }

  /** Creates the message for the pooler of the primary. */
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
