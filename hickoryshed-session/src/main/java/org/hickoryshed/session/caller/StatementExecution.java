package org.hickoryshed.session.caller;

import java.util.Optional;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.EventLoop;

/**
 * Executes one statement: selects a member, borrows a connection, sends the statement and hands the
 * response to the session.
 *
 * <p>A statement that certainly did not run is sent again, if need be to another member, until its
 * timeout. A read outside a transaction is also sent again if its response is lost, late or a
 * failure. A write or a commit that may have run is never sent twice.
 *
 * <p>All methods are called on the event loop.
 */
final class StatementExecution implements Borrower {

  /** The pause before a member is selected again, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 15;

  /** The time after which a read, or any begin, is tried at another member, in milliseconds. */
  private static final long READ_ATTEMPT_TIMEOUT_MILLIS = 350;

  /** The time that a read waits for a connection before another member is tried, in ms. */
  private static final long BORROW_TIMEOUT_MILLIS = 150;

  /** How often a read is sent at most. */
  private static final int MAX_READ_ATTEMPTS = 3;

  private final SessionContext context;

  private final CallerSession session;

  private final StatementContext statement;

  private final StatementTelemetry telemetry;

  private final Optional<Transaction> transaction;

  private final ReadTargets targets;

  /** Fires when the timeout of the whole statement has passed. */
  private final EventLoop.Timer deadline;

  private final AttemptTimer attemptTimer;

  /** When the current attempt requested a connection, in nanoseconds of the monotonic clock. */
  private long borrowRequestedNanos;

  /** The member of the current attempt, empty while none is selected. */
  private Optional<MemberConnectionPool> member = Optional.empty();

  /** The connection of the current attempt, empty until the member's pool lends one. */
  private Optional<MemberConnection> connection = Optional.empty();

  /** The position that the member's log must hold, empty if the primary is needed. */
  private Optional<LogPosition> required = Optional.empty();

  /** A fresh floor is requested only once for a statement. */
  private boolean requestedFloor;

  /** The number of the current attempt; responses to earlier ones are ignored. */
  private int attempt;

  /** How often the statement was sent to a member. */
  private int sent;

  /** True from the sending of the statement until the response to it. */
  private boolean awaitingResponse;

  /** True once the caller has its response or is gone. */
  private boolean finished;

  StatementExecution(SessionContext context, StatementContext statement) {
    this.context = context;
    this.statement = statement;
    session = statement.session();
    transaction = statement.transaction();
    telemetry = new StatementTelemetry(context, statement);
    targets = new ReadTargets(context.metrics());
    attemptTimer = new AttemptTimer(context.loop(), this::onAttemptTimeout);
    deadline =
        context
            .loop()
            .schedule(
                statement.route().statementTimeoutMillis(), () -> failUnfinished("out of time"));
  }

  /**
   * Starts the execution; the timeout runs since the creation. A transaction that is bound to a
   * connection stays on it; otherwise a member is selected.
   */
  void start() {
    Optional<MemberConnection> bound = transaction.flatMap(Transaction::connection);
    if (bound.isPresent()) {
      member = Optional.of(bound.get().pool());
      telemetry.onMemberSelected(bound.get().pool(), Optional.empty());
      connection = bound;
      attempt++;
      if (bound.get().isClosed()) {
        onResponseLost("the connection of the transaction ended");
      } else if (statement.isAtSuspendedPrimary(bound.get().pool(), database())) {
        fail(statement.failureWithoutResponse(false), FailureTexts.PRIMARY_LEAVES);
      } else {
        send(Optional.empty());
      }
    } else {
      selectMember();
    }
  }

  /** Cancels the execution without a response, since the caller is gone. */
  void abandon() {
    finish();
    cancelAttempt();
  }

  @Override
  public int priority() {
    return statement.route().priority();
  }

  @Override
  public Optional<String> workspace() {
    return session.workspace();
  }

  @Override
  public boolean mayBeDeclined() {
    return required.isPresent() && targets.mayBeDeclined();
  }

  @Override
  public void onDeclined() {
    if (!finished) {
      attemptTimer.cancel();
      member.ifPresent(targets::onDeclined);
      selectMember();
    }
  }

  @Override
  public SessionState session() {
    return session.sessionState();
  }

  @Override
  public void onUnavailable() {
    if (!finished) {
      attemptTimer.cancel();
      retryAfterDelay("member unavailable");
    }
  }

  @Override
  public void onConnection(MemberConnection lent) {
    attemptTimer.cancel();
    telemetry.recordConnectionWait(context.loop().now() - borrowRequestedNanos);
    connection = Optional.of(lent);
    statement.prepareConnection(lent);
    if (transaction.isPresent()) {
      begin(
          lent,
          () -> {
            transaction.get().bind(lent, required.isEmpty());
            send(Optional.empty());
          });
    } else if (statement.access() == Access.READ && required.isEmpty()) {
      // Within a transaction that may write, the response proves that the member is the primary.
      begin(
          lent,
          () -> {
            send(Optional.empty());
            lent.rollback();
          });
    } else {
      send(required);
    }
  }

  /**
   * Selects a member and borrows a connection to it.
   *
   * <p>A read that a replica may run needs a recent floor: a log position that covers every commit
   * acknowledged before a known time, which the replica's log must hold. Without one, a fresh floor
   * is requested once; if none arrives, the primary runs the read.
   */
  private void selectMember() {
    if (finished) {
      return;
    }
    attempt++;
    connection = Optional.empty();
    member = Optional.empty();
    Optional<Database> database = database();
    if (database.isEmpty()) {
      retryAfterDelay("no members");
      return;
    }
    required = statement.requiredPosition(database.get());
    if (required.isEmpty() && statement.mayRunOnReplica() && !requestedFloor) {
      requestedFloor = true;
      int current = attempt;
      Database known = database.get();
      known.awaitFloor(
          () -> {
            if (current == attempt) {
              selectMember();
            }
          });
      return;
    }
    Optional<MemberConnectionPool> reader =
        required.flatMap(position -> targets.select(database.get(), position, workspace()));
    if (reader.isEmpty()) {
      required = Optional.empty();
    }
    member = reader.or(() -> database.get().primary().filter(MemberConnectionPool::isReachable));
    if (member.isEmpty()) {
      if (database.get().isCutOff() && statement.shouldFailFast(context.loop().now())) {
        fail(statement.failureWithoutResponse(false), FailureTexts.TRY_OTHER_PROXY);
      } else {
        retryAfterDelay("no primary");
      }
      return;
    }
    if (reader.isPresent()) {
      attemptTimer.startAttempt(BORROW_TIMEOUT_MILLIS);
    }
    telemetry.onMemberSelected(member.get(), required);
    borrowRequestedNanos = context.loop().now();
    member.get().borrow(this);
  }

  /**
   * Begins a transaction at a member and continues once the member has confirmed it.
   *
   * <p>The response is awaited, as a statement behind a refused begin would run outside of it.
   *
   * @param lent The connection to the member.
   * @param onBegun The action to run once the transaction has begun.
   */
  private void begin(MemberConnection lent, Runnable onBegun) {
    int current = attempt;
    lent.begin(
        required.isPresent(),
        required,
        response -> {
          if (!finished && current == attempt) {
            attemptTimer.cancel();
            onBeginResponse(response, onBegun);
          }
        });
    attemptTimer.startAttempt(READ_ATTEMPT_TIMEOUT_MILLIS);
  }

  private void onBeginResponse(MemberResponse response, Runnable onBegun) {
    switch (response) {
      case MemberResponse.Done done -> onBegun.run();
      case MemberResponse.Failed failed -> onNotRun(failed.kind());
      case MemberResponse.Lost lost -> {
        connection = Optional.empty();
        retryAfterDelay("begin lost: " + lost.reason());
      }
    }
  }

  /**
   * Sends the statement on the connection of the current attempt.
   *
   * @param position The position that the member's log must hold, empty if any will do.
   */
  private void send(Optional<LogPosition> position) {
    MemberConnection lent = connection.orElseThrow();
    if (statement.access() == Access.WRITE) {
      transaction.ifPresent(Transaction::markMayHaveWritten);
    }
    sent++;
    telemetry.onSent();
    awaitingResponse = true;
    int current = attempt;
    statement.send(lent, position, response -> onResponse(current, response));
    if (statement.isAutocommitRead() && sent < MAX_READ_ATTEMPTS) {
      attemptTimer.startAttempt(READ_ATTEMPT_TIMEOUT_MILLIS);
    }
  }

  /** Handles the response to an attempt; a success without the member's proof counts as lost. */
  private void onResponse(int ofAttempt, MemberResponse response) {
    if (finished || ofAttempt != attempt) {
      return;
    }
    awaitingResponse = false;
    attemptTimer.cancel();
    switch (response) {
      case MemberResponse.Done done when done.proof().isEmpty() -> {
        connection.ifPresent(broken -> broken.abort("the response lacks the member's proof"));
        onResponseLost("the response lacks the member's proof");
      }
      case MemberResponse.Done done -> onDone(done);
      case MemberResponse.Failed failed -> onFailed(failed);
      case MemberResponse.Lost lost -> onResponseLost(lost.reason());
    }
  }

  private Optional<Database> database() {
    return context.database(statement.route());
  }

  private void onDone(MemberResponse.Done done) {
    int current = attempt;
    awaitingResponse = true;
    new AcknowledgementGuard(context, statement)
        .check(
            member,
            safe -> {
              if (!finished && current == attempt) {
                onChecked(done, safe);
              }
            });
  }

  private void onChecked(MemberResponse.Done done, boolean safe) {
    if (!safe) {
      connection.ifPresent(MemberConnection::release);
      fail(FailureKind.UNKNOWN_OUTCOME, FailureTexts.PRIMARY_REPLACED);
      return;
    }
    statement.recordSuccess(done, required.isEmpty(), member, database());
    finish();
    telemetry.onDone(done);
    if (transaction.isPresent() && !statement.isCommit()) {
      session.respond(done.rows(), done.proof(), TransactionState.OPEN);
      return;
    }
    if (transaction.isPresent()) {
      session.endTransaction();
    } else {
      connection.ifPresent(MemberConnection::release);
    }
    session.respond(done.rows(), done.proof(), TransactionState.IDLE);
  }

  /**
   * Handles a failure that the member reported.
   *
   * <p>A statement of a transaction is bound to its member. It is sent there again if the member
   * was overloaded and kept the transaction open; any other failure fails the transaction.
   */
  private void onFailed(MemberResponse.Failed failed) {
    if (transaction.isPresent()) {
      if (failed.kind() == FailureKind.OVERLOADED && failed.state() == TransactionState.OPEN) {
        resendAfterDelay();
      } else {
        fail(failed.kind(), failed.text());
      }
    } else if (failed.isNotRun()) {
      onNotRun(failed.kind());
    } else if (statement.isAutocommitRead() && sent < MAX_READ_ATTEMPTS) {
      connection.ifPresent(MemberConnection::release);
      retryOnOtherMember("failed: " + failed.kind());
    } else {
      connection.ifPresent(MemberConnection::release);
      respondWithFailure(failed.kind(), failed.text());
    }
  }

  /** Sends a statement of a transaction again whose member had no slot free for it. */
  private void resendAfterDelay() {
    telemetry.onRetry("the member of the transaction is overloaded");
    attempt++;
    attemptTimer.schedule(RETRY_DELAY_MILLIS, () -> send(Optional.empty()));
  }

  private void retryOnOtherMember(String reason) {
    connection = Optional.empty();
    telemetry.onRetry(reason);
    member.ifPresent(targets::exclude);
    selectMember();
  }

  /**
   * Fails the statement and the transaction that it belongs to. A failed commit ends the
   * transaction; after any other statement, the caller still has to end it.
   */
  void fail(FailureKind kind, String text) {
    if (statement.isCommit()) {
      session.endTransaction();
    } else if (transaction.isPresent()) {
      session.failTransaction(kind);
    }
    respondWithFailure(kind, text);
  }

  /** Handles a statement, or the begin before it, that the member refused; it may be resent. */
  private void onNotRun(FailureKind kind) {
    member.ifPresent(refusing -> targets.onNotRun(refusing, kind, database()));
    connection.ifPresent(MemberConnection::release);
    connection = Optional.empty();
    if (kind == FailureKind.BEHIND) {
      telemetry.onRetry("the member is behind");
      selectMember();
    } else {
      retryAfterDelay("refused: " + kind);
    }
  }

  /**
   * Handles a statement whose response will not arrive: a read outside a transaction is sent again,
   * anything else fails.
   *
   * @param reason What happened to the connection.
   */
  private void onResponseLost(String reason) {
    if (statement.isAutocommitRead() && sent < MAX_READ_ATTEMPTS) {
      retryOnOtherMember("response lost: " + reason);
    } else {
      connection = Optional.empty();
      fail(statement.failureWithoutResponse(sent > 0), reason);
    }
  }

  /** Selects from all members again, after a short pause. */
  private void retryAfterDelay(String reason) {
    telemetry.onRetry(reason);
    attempt++;
    targets.reset();
    attemptTimer.schedule(RETRY_DELAY_MILLIS, this::selectMember);
  }

  /** Cancels an attempt that takes too long and tries another member. */
  private void onAttemptTimeout() {
    if (finished) {
      return;
    }
    telemetry.onRetry("no response in time");
    connection.ifPresent(lent -> lent.onStatementTimeout(attemptTimer.startedNanos()));
    member.ifPresent(targets::exclude);
    cancelAttempt();
    selectMember();
  }

  /** Gives up the connection, or the wait for one, unless a transaction is bound to it. */
  private void cancelAttempt() {
    attemptTimer.cancel();
    attempt++;
    if (transaction.flatMap(Transaction::connection).isPresent()) {
      return;
    }
    if (connection.isPresent()) {
      connection.get().release();
    } else {
      member.ifPresent(selected -> selected.cancel(this));
    }
    connection = Optional.empty();
  }

  /** Fails the statement, since this process stops. */
  void finishForStop() {
    failUnfinished(FailureTexts.STOPPED);
  }

  /** Fails the statement unless it is finished; the text is for the case that it was sent. */
  private void failUnfinished(String textAfterSending) {
    if (finished) {
      return;
    }
    boolean wasAwaitingResponse = awaitingResponse;
    cancelAttempt();
    fail(
        statement.failureWithoutResponse(wasAwaitingResponse),
        wasAwaitingResponse ? textAfterSending : FailureTexts.RETRY_LATER);
  }

  private void respondWithFailure(FailureKind kind, String text) {
    finish();
    telemetry.onFailed(kind, text);
    session.respondWithFailure(kind, text);
  }

  private void finish() {
    finished = true;
    session.onStatementEnded(sent > 0);
    deadline.cancel();
    attemptTimer.cancel();
  }
}
