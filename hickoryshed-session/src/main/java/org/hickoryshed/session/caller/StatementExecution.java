package org.hickoryshed.session.caller;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.EventLoop;

/**
 * The way of one statement to a member and back.
 *
 * <p>A statement that surely did not run is sent elsewhere while time remains. A read is repeated
 * when its answer is lost; a write or commit never is.
 */
final class StatementExecution implements Borrower {

  /** The pause before a statement looks for a member again, in milliseconds. */
  private static final long LOOK_AGAIN_MILLIS = 15;

  /** The time that a read waits for an answer before it is sent elsewhere, in milliseconds. */
  private static final long READ_ATTEMPT_MILLIS = 350;

  /**
   * The time that a read waits for a connection before another member is tried, in milliseconds.
   */
  private static final long BORROW_MILLIS = 150;

  /** The number of times that a read is sent at most. */
  private static final int READ_ATTEMPTS = 3;

  /** What the answer to a refused statement says. */
  private static final String COME_BACK = "not run; try again in 100 ms";

  /** What the answer to a statement says that another proxy may serve. */
  private static final String GO_ELSEWHERE = "not run; cut off from the primary; try another proxy";

  /** The process that serves the session. */
  private final SessionContext gateway;

  /** The session. */
  private final CallerSession session;

  /** The statement and what it belongs to. */
  private final StatementContext call;

  /** What the log and the metrics tell. */
  private final StatementTelemetry report;

  /** The transaction that the statement belongs to, if any. */
  private final Optional<Transaction> transaction;

  /** The identifiers of the members that are not tried again. */
  private final Set<String> excluded = new HashSet<>();

  /** Ends the statement when its time is over. */
  private EventLoop.Timer deadline;

  /** Ends the present attempt, or the pause before the next one. */
  private final AttemptTimer attemptTimer;

  /** The reading of the steady clock when a connection was asked for, in nanoseconds. */
  private long borrowed;

  /** The pool that the statement waits for or runs at. */
  private Optional<MemberPool> pool = Optional.empty();

  /** The connection that the statement runs on. */
  private Optional<MemberConnection> connection = Optional.empty();

  /** The position that the member's log must hold. */
  private Optional<LogPosition> required = Optional.empty();

  /** True once a fresh floor was asked for. */
  private boolean askedForFloor;

  /** The number of the present attempt; answers to older ones are dropped. */
  private int attempt;

  /** The number of times that the statement was sent. */
  private int sent;

  /** True while the statement is at a member. */
  private boolean atMember;

  /** True once the caller has its answer or is gone. */
  private boolean finished;

  /**
   * Creates a new run.
   *
   * @param gateway The process that serves the session.
   * @param call The statement and what it belongs to.
   */
  StatementExecution(SessionContext gateway, StatementContext call) {
    this.gateway = gateway;
    this.call = call;
    session = call.session();
    transaction = call.transaction();
    report = new StatementTelemetry(gateway, call);
    attemptTimer = new AttemptTimer(gateway.loop(), this::onAttemptTimeout);
  }

  /** Starts this run. */
  void start() {
    deadline = gateway.loop().schedule(call.route().statementTimeoutMillis(), this::onDeadline);
    Optional<MemberConnection> bound = transaction.flatMap(Transaction::connection);
    if (bound.isPresent()) {
      pool = Optional.of(bound.get().pool());
      report.chosen(bound.get().pool(), Optional.empty());
      connection = bound;
      attempt++;
      if (bound.get().isClosed()) {
        onLost("the connection of the transaction ended");
      } else {
        forward(Optional.empty());
      }
    } else {
      choose();
    }
  }

  /** Gives this run up since its caller is gone. */
  void abandon() {
    finished = true;
    deadline.cancel();
    leaveAttempt();
  }

  @Override
  public int priority() {
    return call.route().priority();
  }

  @Override
  public SessionState session() {
    return session.state();
  }

  @Override
  public void onUnavailable() {
    if (!finished) {
      attemptTimer.cancel();
      lookAgain("member unavailable");
    }
  }

  @Override
  public void onConnection(MemberConnection lent) {
    attemptTimer.cancel();
    report.waitedForConnection(gateway.loop().now() - borrowed);
    connection = Optional.of(lent);
    call.prepare(lent);
    if (transaction.isPresent()) {
      begin(
          lent,
          () -> {
            transaction.get().bind(lent, required.isEmpty());
            forward(Optional.empty());
          });
    } else if (call.access() == Access.READ && required.isEmpty()) {
      begin(
          lent,
          () -> {
            forward(Optional.empty());
            lent.rollback();
          });
    } else {
      forward(required);
    }
  }

  /** Chooses a member and asks its pool for a connection. */
  private void choose() {
    if (finished) {
      return;
    }
    attempt++;
    connection = Optional.empty();
    pool = Optional.empty();
    Optional<Database> database = gateway.database(call.route());
    if (database.isEmpty()) {
      lookAgain("no members");
      return;
    }
    required = call.requiredPosition(database.get());
    if (required.isEmpty() && call.mayRunAnywhere() && !askedForFloor) {
      askedForFloor = true;
      int current = attempt;
      database
          .get()
          .awaitFloor(
              () -> {
                if (current == attempt) {
                  choose();
                }
              });
      return;
    }
    Optional<MemberPool> reader =
        required.flatMap(position -> database.get().selectReader(excluded));
    if (reader.isEmpty()) {
      required = Optional.empty();
    }
    pool = reader.or(() -> database.get().primary().filter(MemberPool::isReachable));
    if (pool.isEmpty()) {
      if (database.get().isCutOff() && call.isOverdue(gateway.loop().now())) {
        giveUp(call.whenAnswerIsMissing(false), GO_ELSEWHERE);
      } else {
        lookAgain("no primary");
      }
      return;
    }
    if (reader.isPresent()) {
      attemptTimer.start(BORROW_MILLIS);
    }
    report.chosen(pool.get(), required);
    borrowed = gateway.loop().now();
    pool.get().borrow(this);
  }

  /**
   * Begins a transaction at a member and goes on once the member took it.
   *
   * <p>A statement behind a begin that is refused would run outside of the transaction, so the
   * answer is awaited.
   *
   * @param lent The connection.
   * @param begun What follows.
   */
  private void begin(MemberConnection lent, Runnable begun) {
    int current = attempt;
    lent.begin(
        required.isPresent(),
        required,
        answer -> {
          if (!finished && current == attempt) {
            attemptTimer.cancel();
            onBegun(answer, begun);
          }
        });
    attemptTimer.start(READ_ATTEMPT_MILLIS);
  }

  /**
   * Handles the answer to a begin.
   *
   * @param answer The answer.
   * @param begun What follows a success.
   */
  private void onBegun(MemberResponse answer, Runnable begun) {
    switch (answer) {
      case MemberResponse.Done done -> begun.run();
      case MemberResponse.Failed failed -> onNotRun(failed.kind());
      case MemberResponse.Lost lost -> {
        connection = Optional.empty();
        lookAgain("begin lost: " + lost.reason());
      }
    }
  }

  /**
   * Sends the statement on the present connection.
   *
   * @param position The position that the member's log must hold, if any.
   */
  private void forward(Optional<LogPosition> position) {
    MemberConnection bound = connection.orElseThrow();
    if (call.access() == Access.WRITE) {
      transaction.ifPresent(Transaction::noteWrite);
    }
    sent++;
    report.sent();
    atMember = true;
    int current = attempt;
    call.send(bound, position, answer -> onAnswer(current, answer));
    if (call.isSingleRead() && sent < READ_ATTEMPTS) {
      attemptTimer.start(READ_ATTEMPT_MILLIS);
    }
  }

  /**
   * Handles the answer of a member.
   *
   * @param of The attempt that the answer belongs to.
   * @param answer The answer.
   */
  private void onAnswer(int of, MemberResponse answer) {
    if (finished || of != attempt) {
      return;
    }
    atMember = false;
    attemptTimer.cancel();
    switch (answer) {
      case MemberResponse.Done done when done.proof().isEmpty() -> {
        connection.ifPresent(broken -> broken.abort("an answer came without its proof"));
        onLost("an answer came without its proof");
      }
      case MemberResponse.Done done -> onDone(done);
      case MemberResponse.Failed failed -> onFailed(failed);
      case MemberResponse.Lost lost -> onLost(lost.reason());
    }
  }

  /**
   * Handles a statement that ran.
   *
   * @param done The answer.
   */
  private void onDone(MemberResponse.Done done) {
    call.noteSuccess(done, required.isEmpty(), pool, gateway.database(call.route()));
    end();
    report.done(done);
    if (transaction.isPresent() && !call.commits()) {
      session.answer(done.rows(), done.proof(), TransactionState.OPEN);
      return;
    }
    if (transaction.isPresent()) {
      session.endTransaction();
    } else {
      connection.ifPresent(MemberConnection::release);
    }
    session.answer(done.rows(), done.proof(), TransactionState.IDLE);
  }

  /**
   * Handles a statement that failed.
   *
   * @param failed The answer.
   */
  private void onFailed(MemberResponse.Failed failed) {
    if (transaction.isPresent()) {
      if (failed.kind() == FailureKind.OVERLOADED && failed.state() == TransactionState.OPEN) {
        forwardAgain();
      } else {
        giveUp(failed.kind(), failed.text());
      }
    } else if (failed.isNotRun()) {
      onNotRun(failed.kind());
    } else if (call.isSingleRead() && sent < READ_ATTEMPTS) {
      connection.ifPresent(MemberConnection::release);
      tryElsewhere("failed: " + failed.kind());
    } else {
      connection.ifPresent(MemberConnection::release);
      refuse(failed.kind(), failed.text());
    }
  }

  /** Sends a statement again that the member of its transaction had no slot for. */
  private void forwardAgain() {
    report.retried("the member of the transaction is overloaded");
    attempt++;
    attemptTimer.pause(LOOK_AGAIN_MILLIS, () -> forward(Optional.empty()));
  }

  /**
   * Sends a read to another member.
   *
   * @param reason Why the attempt failed.
   */
  private void tryElsewhere(String reason) {
    connection = Optional.empty();
    report.retried(reason);
    pool.ifPresent(member -> excluded.add(member.entry().id()));
    choose();
  }

  /**
   * Gives the statement up, and with it the transaction that it belongs to.
   *
   * @param kind How the statement failed.
   * @param text A text for people.
   */
  private void giveUp(FailureKind kind, String text) {
    if (call.commits()) {
      session.endTransaction();
    } else if (transaction.isPresent()) {
      session.failTransaction(kind);
    }
    refuse(kind, text);
  }

  /**
   * Handles a statement that a member refused to run.
   *
   * @param kind Why it refused.
   */
  private void onNotRun(FailureKind kind) {
    pool.ifPresent(
        member -> {
          switch (kind) {
            case BEHIND -> {
              excluded.add(member.entry().id());
              member.noteBehind(LOOK_AGAIN_MILLIS * 4);
            }
            case NOT_PRIMARY ->
                gateway
                    .database(call.route())
                    .ifPresent(database -> database.noteNotPrimary(member));
            default -> gateway.metrics().counter("member_refusals", "kind", kind.name()).inc();
          }
        });
    connection.ifPresent(MemberConnection::release);
    connection = Optional.empty();
    if (kind == FailureKind.BEHIND) {
      report.retried("the member is behind");
      choose();
    } else {
      lookAgain("refused: " + kind);
    }
  }

  /**
   * Handles a statement whose answer is lost.
   *
   * @param reason What happened to the connection.
   */
  private void onLost(String reason) {
    if (call.isSingleRead() && sent < READ_ATTEMPTS) {
      tryElsewhere("answer lost: " + reason);
    } else {
      connection = Optional.empty();
      giveUp(call.whenAnswerIsMissing(sent > 0), reason);
    }
  }

  /**
   * Looks for a member again after a short pause.
   *
   * @param reason Why none was found.
   */
  private void lookAgain(String reason) {
    report.retried(reason);
    attempt++;
    excluded.clear();
    attemptTimer.pause(LOOK_AGAIN_MILLIS, this::choose);
  }

  /** Ends an attempt that takes too long and tries another member. */
  private void onAttemptTimeout() {
    if (finished) {
      return;
    }
    report.retried("no answer in time");
    connection.ifPresent(lent -> lent.noteTimeout(attemptTimer.started()));
    pool.ifPresent(member -> excluded.add(member.entry().id()));
    leaveAttempt();
    choose();
  }

  /** Leaves the queue or the connection of the present attempt. */
  private void leaveAttempt() {
    attemptTimer.cancel();
    attempt++;
    if (transaction.flatMap(Transaction::connection).isPresent()) {
      return;
    }
    if (connection.isPresent()) {
      connection.get().release();
    } else {
      pool.ifPresent(member -> member.cancel(this));
    }
    connection = Optional.empty();
  }

  /** Ends the statement since its time is over. */
  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean wasAtMember = atMember;
    leaveAttempt();
    giveUp(call.whenAnswerIsMissing(wasAtMember), wasAtMember ? "out of time" : COME_BACK);
  }

  /**
   * Answers the caller with a failure.
   *
   * @param kind How the statement failed.
   * @param text A text for people.
   */
  private void refuse(FailureKind kind, String text) {
    end();
    report.failed(kind, text);
    session.refuse(kind, text);
  }

  /** Ends this run. */
  private void end() {
    finished = true;
    deadline.cancel();
    attemptTimer.cancel();
  }
}
