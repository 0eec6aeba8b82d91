package org.hickoryshed.session.caller;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.freshness.Moment;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.journal.LogLine;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberAnswer;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.CallerMessage;

/**
 * The way of one statement to a member and back.
 *
 * <p>A statement that surely did not run is sent elsewhere while time remains. A read is repeated
 * when its answer is lost; a write or commit never is.
 */
final class StatementRun implements MemberPool.Borrower {

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

  /** The bits of the hash of an identifier that are zero for a logged success: one in 64. */
  private static final int SAMPLE_MASK = 63;

  /** What the answer to a refused statement says. */
  private static final String COME_BACK = "not run; try again in 100 ms";

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The process that serves the session. */
  private final Gateway gateway;

  /** The session. */
  private final CallerSession session;

  /** The route. */
  private final DatabaseRoute route;

  /** The transaction that the statement belongs to, if any. */
  private final Optional<Transaction> transaction;

  /** The request of the caller. */
  private final CallerMessage.Request request;

  /** Whether the statement reads or writes. */
  private final Access access;

  /** The moment at which the statement arrived. */
  private final Moment arrived;

  /** The identifiers of the members that are not tried again. */
  private final Set<String> excluded = new HashSet<>();

  /** Ends the statement when its time is over. */
  private EventLoop.Timer deadline;

  /** Ends the present attempt. */
  private Optional<EventLoop.Timer> attemptTimer = Optional.empty();

  /** The reading of the steady clock when a connection was asked for, in nanoseconds. */
  private long borrowed;

  /** The reading of the steady clock when the present attempt began, in nanoseconds. */
  private long attemptStarted;

  /** The pool that the statement waits for or runs at. */
  private Optional<MemberPool> pool = Optional.empty();

  /** The connection that the statement runs on. */
  private Optional<MemberConnection> connection = Optional.empty();

  /** The position that the member's log must hold. */
  private Optional<LogPosition> required = Optional.empty();

  /** True once a fresh floor was asked for. */
  private boolean askedForFloor;

  /** Why the last attempt failed. */
  private String retryReason = "";

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
   * @param session The session.
   * @param route The route.
   * @param transaction The transaction that the statement belongs to, if any.
   * @param request The request of the caller.
   * @param access Whether the statement reads or writes.
   */
  StatementRun(
      Gateway gateway,
      CallerSession session,
      DatabaseRoute route,
      Optional<Transaction> transaction,
      CallerMessage.Request request,
      Access access) {
    this.gateway = gateway;
    this.session = session;
    this.route = route;
    this.transaction = transaction;
    this.request = request;
    this.access = access;
    arrived = gateway.loop().moment();
  }

  /** Starts this run. */
  void start() {
    deadline = gateway.loop().schedule(route.statementTimeoutMillis(), this::onDeadline);
    Optional<MemberConnection> bound = transaction.flatMap(Transaction::connection);
    if (bound.isPresent()) {
      pool = Optional.of(bound.get().pool());
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
    return route.priority();
  }

  @Override
  public SessionState session() {
    return session.state();
  }

  @Override
  public void onUnavailable() {
    if (!finished) {
      cancelAttemptTimer();
      lookAgain("member unavailable");
    }
  }

  @Override
  public void onConnection(MemberConnection lent) {
    cancelAttemptTimer();
    gateway.metrics().duration("connection_wait", gateway.loop().now() - borrowed);
    connection = Optional.of(lent);
    prepareFor(lent);
    if (transaction.isPresent()) {
      beginTransaction(lent, transaction.get());
    } else if (access == Access.READ && required.isEmpty()) {
      int current = attempt;
      lent.begin(false, Optional.empty(), answer -> onGuardBegun(current, answer));
      startAttemptTimer(READ_ATTEMPT_MILLIS);
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
    Optional<Database> database = gateway.database(route);
    if (database.isEmpty()) {
      lookAgain("no members");
      return;
    }
    required = requiredPosition(database.get());
    if (required.isEmpty() && readsAnywhere() && !askedForFloor) {
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
    Optional<MemberPool> reader = required.flatMap(position -> database.get().reader(excluded));
    if (reader.isEmpty()) {
      required = Optional.empty();
    }
    pool = reader.or(() -> database.get().primary().filter(MemberPool::isReachable));
    if (pool.isEmpty()) {
      lookAgain("no primary");
      return;
    }
    if (reader.isPresent()) {
      startAttemptTimer(BORROW_MILLIS);
    }
    borrowed = gateway.loop().now();
    pool.get().borrow(this);
  }

  /**
   * Checks if any member with a fresh enough log may answer.
   *
   * @return {@code false} if only the primary may answer.
   */
  private boolean readsAnywhere() {
    return transaction.map(Transaction::readOnly).orElse(access == Access.READ)
        && route.freshness() != DatabaseRoute.Freshness.PRIMARY;
  }

  /**
   * Finds the position that the log of any member must hold to answer this statement.
   *
   * @param database The database.
   * @return The position, or an empty optional if only the primary may answer.
   */
  private Optional<LogPosition> requiredPosition(Database database) {
    if (!readsAnywhere()) {
      return Optional.empty();
    }
    Moment firstByte = transaction.map(Transaction::firstByte).orElse(arrived);
    Optional<LogPosition> own =
        route.freshness() == DatabaseRoute.Freshness.READ_YOUR_WRITES
            ? session.ownCommit()
            : Optional.empty();
    return database.floors().required(firstByte, route.maximumAgeMillis(), own);
  }

  /**
   * Begins the transaction of the caller at a member.
   *
   * @param lent The connection.
   * @param open The transaction.
   */
  private void beginTransaction(MemberConnection lent, Transaction open) {
    int current = attempt;
    lent.begin(required.isPresent(), required, answer -> onBegun(current, open, answer));
    startAttemptTimer(READ_ATTEMPT_MILLIS);
  }

  /**
   * Handles the answer to the begin of the caller's transaction.
   *
   * @param of The attempt that the answer belongs to.
   * @param open The transaction.
   * @param answer The answer.
   */
  private void onBegun(int of, Transaction open, MemberAnswer answer) {
    if (finished || of != attempt) {
      return;
    }
    cancelAttemptTimer();
    switch (answer) {
      case MemberAnswer.Done done -> {
        open.bind(connection.orElseThrow(), required.isEmpty());
        forward(Optional.empty());
      }
      case MemberAnswer.Failed failed -> onNotRun(failed.kind());
      case MemberAnswer.Lost lost -> {
        connection = Optional.empty();
        lookAgain("begin lost: " + lost.reason());
      }
    }
  }

  /**
   * Handles the answer to the begin that guards a read at the primary.
   *
   * @param of The attempt that the answer belongs to.
   * @param answer The answer.
   */
  private void onGuardBegun(int of, MemberAnswer answer) {
    if (finished || of != attempt) {
      return;
    }
    cancelAttemptTimer();
    switch (answer) {
      case MemberAnswer.Done done -> {
        forward(Optional.empty());
        connection.ifPresent(MemberConnection::rollback);
      }
      case MemberAnswer.Failed failed -> onNotRun(failed.kind());
      case MemberAnswer.Lost lost -> {
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
    if (access == Access.WRITE) {
      transaction.ifPresent(Transaction::noteWrite);
    }
    sent++;
    atMember = true;
    String text = textFor(bound);
    int current = attempt;
    bound.forward(request.id(), position, text, answer -> onAnswer(current, answer));
    if (transaction.isEmpty() && access == Access.READ && sent < READ_ATTEMPTS) {
      startAttemptTimer(READ_ATTEMPT_MILLIS);
    }
  }

  /**
   * Writes the text of the statement for a member; a prepared statement is renamed.
   *
   * @param bound The connection to the member.
   * @return The text.
   */
  private String textFor(MemberConnection bound) {
    return prepareFor(bound)
        .map(name -> gateway.format().executeText(name, arguments()))
        .orElseGet(request::text);
  }

  /**
   * Brings a member's session to the state that the statement relies on.
   *
   * @param bound The connection to the member.
   * @return The name of the prepared statement at the member, if one is executed.
   */
  private Optional<String> prepareFor(MemberConnection bound) {
    bound.adopt(session.state());
    return request.statement() instanceof Statement.Execute execute
        ? session.state().shape(execute.name()).map(bound::prepare)
        : Optional.empty();
  }

  /**
   * Returns the arguments of the execution of a prepared statement.
   *
   * @return The arguments as the caller wrote them.
   */
  private String arguments() {
    return request.statement() instanceof Statement.Execute execute ? execute.arguments() : "";
  }

  /**
   * Handles the answer of a member.
   *
   * @param of The attempt that the answer belongs to.
   * @param answer The answer.
   */
  private void onAnswer(int of, MemberAnswer answer) {
    if (finished || of != attempt) {
      return;
    }
    atMember = false;
    cancelAttemptTimer();
    switch (answer) {
      case MemberAnswer.Done done when done.proof().isEmpty() -> {
        connection.ifPresent(broken -> broken.abort("an answer came without its proof"));
        onLost("an answer came without its proof");
      }
      case MemberAnswer.Done done -> onDone(done);
      case MemberAnswer.Failed failed -> onFailed(failed);
      case MemberAnswer.Lost lost -> onLost(lost.reason());
    }
  }

  /**
   * Handles a statement that ran.
   *
   * @param done The answer.
   */
  private void onDone(MemberAnswer.Done done) {
    gateway.metrics().duration("member_answer", gateway.loop().now() - done.asked().steadyNanos());
    gateway
        .metrics()
        .counter("member_answers", "role", required.isPresent() ? "any" : "primary")
        .inc();
    boolean commits = request.statement() instanceof Statement.Commit;
    boolean committed =
        commits
            ? transaction.map(Transaction::wrote).orElse(false)
            : transaction.isEmpty() && access == Access.WRITE;
    boolean provesLead =
        committed
            || (!commits && transaction.map(Transaction::provesLead).orElse(required.isEmpty()));
    done.position()
        .ifPresent(
            position -> {
              if (provesLead) {
                gateway.database(route).ifPresent(base -> base.addFloor(done.asked(), position));
              }
              if (committed) {
                session.noteCommit(position);
              }
            });
    end("done");
    if ((request.id().hashCode() & SAMPLE_MASK) == 0) {
      line("statement-done").write();
    }
    if (transaction.isPresent() && !commits) {
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
  private void onFailed(MemberAnswer.Failed failed) {
    boolean notRun =
        switch (failed.kind()) {
          case OVERLOADED, BEHIND, NOT_PRIMARY, UNKNOWN_STATEMENT -> true;
          default -> false;
        };
    if (transaction.isPresent()) {
      failTransactionOf(failed);
    } else if (notRun) {
      onNotRun(failed.kind());
    } else {
      connection.ifPresent(MemberConnection::release);
      refuse(failed.kind(), failed.text());
    }
  }

  /**
   * Ends the transaction whose statement failed.
   *
   * @param failed The answer.
   */
  private void failTransactionOf(MemberAnswer.Failed failed) {
    boolean commits = request.statement() instanceof Statement.Commit;
    if (commits) {
      session.endTransaction();
    } else {
      session.failTransaction(failed.kind());
    }
    refuse(failed.kind(), failed.text());
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
                gateway.database(route).ifPresent(database -> database.noteLostLead(member));
            default -> gateway.metrics().counter("member_refusals", "kind", kind.name()).inc();
          }
        });
    connection.ifPresent(MemberConnection::release);
    connection = Optional.empty();
    if (kind == FailureKind.BEHIND) {
      noteRetry("the member is behind");
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
    connection = Optional.empty();
    boolean commits = request.statement() instanceof Statement.Commit;
    if (transaction.isPresent()) {
      boolean unknown = commits && sent > 0 && transaction.get().wrote();
      if (commits) {
        session.endTransaction();
      } else {
        session.failTransaction(FailureKind.ROLLED_BACK);
      }
      refuse(unknown ? FailureKind.UNKNOWN_OUTCOME : FailureKind.ROLLED_BACK, reason);
    } else if (access == Access.WRITE) {
      refuse(FailureKind.UNKNOWN_OUTCOME, reason);
    } else if (sent < READ_ATTEMPTS) {
      noteRetry("answer lost: " + reason);
      pool.ifPresent(member -> excluded.add(member.entry().id()));
      choose();
    } else {
      refuse(FailureKind.TIMED_OUT, reason);
    }
  }

  /**
   * Looks for a member again after a short pause.
   *
   * @param reason Why none was found.
   */
  private void lookAgain(String reason) {
    noteRetry(reason);
    attempt++;
    excluded.clear();
    attemptTimer = Optional.of(gateway.loop().schedule(LOOK_AGAIN_MILLIS, this::choose));
  }

  /**
   * Logs that the statement is tried again, once for each reason in a row.
   *
   * @param reason Why the attempt failed.
   */
  private void noteRetry(String reason) {
    if (!reason.equals(retryReason)) {
      retryReason = reason;
      line("statement-retried").with("reason", reason).write();
      gateway.metrics().counter("statement_retries", "freshness", route.freshness().name()).inc();
    }
  }

  /** Ends an attempt that takes too long and tries another member. */
  private void onAttemptTimeout() {
    if (finished) {
      return;
    }
    noteRetry("no answer in time");
    if (connection.isPresent()) {
      pool.ifPresent(member -> member.noteTimeout(attemptStarted));
    }
    pool.ifPresent(member -> excluded.add(member.entry().id()));
    leaveAttempt();
    choose();
  }

  /** Leaves the queue or the connection of the present attempt. */
  private void leaveAttempt() {
    cancelAttemptTimer();
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
    boolean commits = request.statement() instanceof Statement.Commit;
    leaveAttempt();
    if (transaction.isPresent()) {
      boolean unknown = wasAtMember && commits && transaction.get().wrote();
      if (commits) {
        session.endTransaction();
      } else {
        session.failTransaction(FailureKind.ROLLED_BACK);
      }
      refuse(unknown ? FailureKind.UNKNOWN_OUTCOME : FailureKind.ROLLED_BACK, "out of time");
    } else if (!wasAtMember) {
      refuse(FailureKind.OVERLOADED, COME_BACK);
    } else if (access == Access.WRITE) {
      refuse(FailureKind.UNKNOWN_OUTCOME, "out of time");
    } else {
      refuse(FailureKind.TIMED_OUT, "out of time");
    }
  }

  /**
   * Answers the caller with a failure.
   *
   * @param kind How the statement failed.
   * @param text A text for people.
   */
  private void refuse(FailureKind kind, String text) {
    end(kind.name());
    line("statement-failed").with("kind", kind).with("text", text).write();
    session.refuse(kind, text);
  }

  /**
   * Ends this run.
   *
   * @param outcome The outcome for the metrics.
   */
  private void end(String outcome) {
    finished = true;
    deadline.cancel();
    cancelAttemptTimer();
    gateway.metrics().counter("statements", "outcome", outcome).inc();
    gateway
        .metrics()
        .duration(
            "statement_" + route.freshness().name().toLowerCase(Locale.ROOT),
            gateway.loop().now() - arrived.steadyNanos());
  }

  /**
   * Starts a line of the log about this statement.
   *
   * @param event The name of the event.
   * @return The line.
   */
  private LogLine line(String event) {
    return gateway
        .log()
        .event(event)
        .with("request", request.id())
        .with("database", route.database())
        .with("pool", route.pool())
        .with("access", access)
        .with("in-transaction", transaction.isPresent())
        .with("member", pool.map(member -> member.entry().id()).orElse("none"))
        .with("required", required.map(LogPosition::toString).orElse("none"))
        .with("sent", sent)
        .with("waited-ms", (gateway.loop().now() - arrived.steadyNanos()) / NANOS_IN_MILLI)
        .with("desired-version", gateway.desired().version());
  }

  /**
   * Starts the timer of the present attempt.
   *
   * @param millis The longest time of the attempt in milliseconds.
   */
  private void startAttemptTimer(long millis) {
    cancelAttemptTimer();
    attemptStarted = gateway.loop().now();
    attemptTimer = Optional.of(gateway.loop().schedule(millis, this::onAttemptTimeout));
  }

  /** Cancels the timer of the present attempt. */
  private void cancelAttemptTimer() {
    attemptTimer.ifPresent(EventLoop.Timer::cancel);
    attemptTimer = Optional.empty();
  }
}
