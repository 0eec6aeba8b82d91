package org.hickoryshed.session.caller;

import java.util.Optional;
import java.util.OptionalLong;
import org.hickoryshed.decision.statement.FailureKind;

/**
 * Counts the operations of one session towards the quota of its workspace.
 *
 * <p>An operation is a statement outside a transaction, or a whole transaction, which counts with
 * its first statement. An operation that certainly reached no member is given back.
 */
final class OperationQuota {

  private final SessionContext context;

  private final Optional<String> workspace;

  /** The statement whose operation is admitted but may not have reached a member. */
  private Optional<StatementExecution> pending = Optional.empty();

  /** The statement that waits for the admission of its operation. */
  private Optional<StatementExecution> waiting = Optional.empty();

  OperationQuota(SessionContext context, Optional<String> workspace) {
    this.context = context;
    this.workspace = workspace;
  }

  /**
   * Starts a statement, at once or as soon as its operation is admitted. It is refused if the
   * operation is not admitted.
   *
   * @param statement The statement.
   * @param transaction The transaction of the statement, empty outside a transaction.
   */
  void start(StatementExecution statement, Optional<Transaction> transaction) {
    pending = Optional.empty();
    if (workspace.isEmpty() || transaction.map(Transaction::isCounted).orElse(false)) {
      statement.start();
      return;
    }
    waiting = Optional.of(statement);
    context.quota().admit(workspace.get(), outcome -> onOutcome(statement, transaction, outcome));
  }

  /**
   * Handles the end of the statement that was started last.
   *
   * @param reachedMember True if it was sent to a member.
   */
  void onStatementEnded(boolean reachedMember) {
    if (pending.isPresent() && !reachedMember) {
      context.quota().giveBack(workspace.orElseThrow());
    }
    pending = Optional.empty();
    waiting = Optional.empty();
  }

  /** Goes on with a statement, unless it ended while it waited. */
  private void onOutcome(
      StatementExecution statement, Optional<Transaction> transaction, OptionalLong outcome) {
    boolean ended = waiting.filter(statement::equals).isEmpty();
    if (ended && outcome.isEmpty()) {
      context.quota().giveBack(workspace.orElseThrow());
    }
    if (ended) {
      return;
    }
    waiting = Optional.empty();
    if (outcome.isEmpty()) {
      String label = context.desired().workspaces().labelOf(workspace.orElseThrow());
      context.metrics().counter("operations", "workspace", label).inc();
      transaction.ifPresent(Transaction::markCounted);
      pending = Optional.of(statement);
      statement.start();
    } else {
      statement.fail(FailureKind.OVERLOADED, FailureTexts.overQuota(outcome.getAsLong()));
    }
  }
}
