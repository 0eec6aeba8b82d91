package org.hickoryshed.session.caller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.CallerMessage;

/**
 * A session of a caller.
 *
 * <p>One statement is handled at a time; what the caller sends meanwhile stays in its input buffer.
 */
public final class CallerSession implements Connection.Handler {

  /** The time in which a caller must open its session, in milliseconds. */
  private static final long OPEN_TIMEOUT_MILLIS = 10_000;

  /** The time that an opening waits for the first desired state, in milliseconds. */
  private static final long STATE_WAIT_MILLIS = 1500;

  /** The pause between two looks for the first desired state, in milliseconds. */
  private static final long STATE_POLL_MILLIS = 20;

  /** The process that serves this session. */
  private final SessionContext gateway;

  /** The values and prepared statements. */
  private final SessionState state = new SessionState();

  /** The connection of the caller. */
  private Connection connection;

  /** The database that the caller opened. */
  private Optional<String> database = Optional.empty();

  /** The transaction that is open or failed. */
  private Optional<Transaction> transaction = Optional.empty();

  /** Why the open transaction failed, if it did. */
  private Optional<FailureKind> transactionFailure = Optional.empty();

  /** True if the caller was told of that failure. */
  private boolean failureTold;

  /** The statement that is being handled. */
  private Optional<StatementExecution> running = Optional.empty();

  /** True while the opening waits for the first desired state. */
  private boolean opening;

  /** True while received messages are being handled, which go on by themselves. */
  private boolean handlingInput;

  /** True if the session is to be closed as soon as it is idle. */
  private boolean leaving;

  /** The last commit of this session. */
  private Optional<LogPosition> ownCommit = Optional.empty();

  /** Ends a transaction that stays idle. */
  private Optional<EventLoop.Timer> idleTimer = Optional.empty();

  /**
   * Creates a new session.
   *
   * @param gateway The process that serves the session.
   */
  public CallerSession(SessionContext gateway) {
    this.gateway = gateway;
  }

  /**
   * Takes the connection of the caller.
   *
   * @param accepted The connection.
   */
  public void attach(Connection accepted) {
    connection = accepted;
    gateway
        .loop()
        .schedule(
            OPEN_TIMEOUT_MILLIS,
            () -> {
              if (database.isEmpty()) {
                end("no session was opened");
              }
            });
  }

  /** Closes this session as soon as no statement and no transaction is open. */
  public void closeWhenIdle() {
    leaving = true;
    closeIfIdle();
  }

  /**
   * Closes this session now; what is in flight is given up.
   *
   * @param reason Why it is closed.
   */
  public void end(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  @Override
  public void onConnected() {
    // Sessions are opened by callers only.
  }

  @Override
  public void onInput(ByteBuffer input) {
    handlingInput = true;
    try {
      while (running.isEmpty() && !opening && !connection.isClosing()) {
        Optional<CallerMessage> next = gateway.wireFormat().decodeCallerMessage(input);
        if (next.isEmpty()) {
          return;
        }
        onMessage(next.get());
      }
    } finally {
      handlingInput = false;
    }
  }

  @Override
  public void onClosed(String reason) {
    idleTimer.ifPresent(EventLoop.Timer::cancel);
    running.ifPresent(StatementExecution::abandon);
    running = Optional.empty();
    transaction.ifPresent(Transaction::release);
    transaction = Optional.empty();
    gateway.onSessionEnded(this);
  }

  /**
   * Returns the values and prepared statements.
   *
   * @return The state of the session.
   */
  SessionState state() {
    return state;
  }

  /**
   * Returns the last commit of this session.
   *
   * @return The position of the commit or an empty optional.
   */
  Optional<LogPosition> ownCommit() {
    return ownCommit;
  }

  /**
   * Notes a commit of this session.
   *
   * @param position A position that covers the commit.
   */
  void noteCommit(LogPosition position) {
    ownCommit = Optional.of(position);
  }

  /**
   * Answers a statement with its rows.
   *
   * @param rows The rows.
   * @param proof The proof of the member.
   * @param after The state of the session after the statement.
   */
  void answer(List<String> rows, Optional<String> proof, TransactionState after) {
    rows.forEach(row -> gateway.wireFormat().writeRow(connection.output(), row));
    gateway.wireFormat().writeDone(connection.output(), proof);
    finish(after);
  }

  /**
   * Answers a statement that failed.
   *
   * @param kind How it failed.
   * @param text A text for people.
   */
  void refuse(FailureKind kind, String text) {
    gateway.wireFormat().writeFailure(connection.output(), kind, text);
    finish(transactionState());
  }

  /**
   * Fails the open transaction, so that only its end is accepted.
   *
   * @param kind How it failed.
   */
  void failTransaction(FailureKind kind) {
    transactionFailure = Optional.of(kind);
    failureTold = true;
    transaction.ifPresent(Transaction::release);
  }

  /** Ends the open transaction. */
  void endTransaction() {
    transaction.ifPresent(Transaction::release);
    transaction = Optional.empty();
    transactionFailure = Optional.empty();
    idleTimer.ifPresent(EventLoop.Timer::cancel);
  }

  /**
   * Returns the state of the session as the caller sees it.
   *
   * @return The state.
   */
  TransactionState transactionState() {
    if (transaction.isEmpty()) {
      return TransactionState.IDLE;
    }
    return transactionFailure.isPresent() ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /**
   * Completes the answer to a statement and goes on with the next message.
   *
   * @param after The state of the session after the statement.
   */
  private void finish(TransactionState after) {
    running = Optional.empty();
    gateway.wireFormat().writeReady(connection.output(), after);
    if (after == TransactionState.OPEN) {
      startIdleTimer();
    }
    if (!closeIfIdle() && !handlingInput) {
      connection.resumeInput();
    }
  }

  /**
   * Closes this session if it is to leave and nothing is open.
   *
   * @return {@code true} if it is closed.
   */
  private boolean closeIfIdle() {
    if (leaving && running.isEmpty() && transaction.isEmpty() && !opening) {
      connection.closeAfterFlush();
      return true;
    }
    return false;
  }

  /**
   * Handles a message.
   *
   * @param message The message.
   */
  private void onMessage(CallerMessage message) {
    switch (message) {
      case CallerMessage.Open open when database.isEmpty() -> open(open.database());
      case CallerMessage.Request request when database.isPresent() -> onRequest(request);
      case CallerMessage.Leave ignored -> end("the caller left");
      case CallerMessage.Unreadable unreadable -> reject(unreadable.kind());
      default -> reject(FailureKind.MALFORMED);
    }
  }

  /**
   * Refuses a message that does not fit and closes the session.
   *
   * @param kind Why it does not fit.
   */
  private void reject(FailureKind kind) {
    gateway.metrics().counter("caller_messages_rejected", "kind", kind.name()).inc();
    gateway.wireFormat().writeFailure(connection.output(), kind, "the message can't be read");
    connection.closeAfterFlush();
  }

  /**
   * Opens the session.
   *
   * @param name The name of the database.
   */
  private void open(String name) {
    opening = true;
    awaitState(name, gateway.loop().now() + STATE_WAIT_MILLIS * 1_000_000);
  }

  /**
   * Opens the session once a desired state is known.
   *
   * @param name The name of the database.
   * @param until The reading of the steady clock until which it waits.
   */
  private void awaitState(String name, long until) {
    if (connection.isClosed()) {
      return;
    }
    DesiredState desired = gateway.desired();
    if (desired.version() == 0 && gateway.loop().now() - until < 0) {
      gateway.loop().schedule(STATE_POLL_MILLIS, () -> awaitState(name, until));
      return;
    }
    opening = false;
    if (desired.route(name).isPresent()) {
      database = Optional.of(name);
      finish(TransactionState.IDLE);
      return;
    }
    FailureKind kind =
        desired.version() == 0 ? FailureKind.OVERLOADED : FailureKind.UNKNOWN_DATABASE;
    gateway
        .log()
        .event("session-refused")
        .with("database", name)
        .with("kind", kind)
        .with("desired-version", desired.version())
        .write();
    gateway.wireFormat().writeFailure(connection.output(), kind, name);
    connection.closeAfterFlush();
  }

  /**
   * Handles a request.
   *
   * @param request The request.
   */
  private void onRequest(CallerMessage.Request request) {
    idleTimer.ifPresent(EventLoop.Timer::cancel);
    if (transactionFailure.isPresent()) {
      onRequestAfterFailure(request.statement());
      return;
    }
    switch (request.statement()) {
      case Statement.Begin begin -> begin(begin.readOnly());
      case Statement.Rollback ignored when transaction.isPresent() -> {
        endTransaction();
        answer(List.of(), Optional.empty(), TransactionState.IDLE);
      }
      case Statement.Commit ignored when transaction.isPresent() -> run(request, Access.READ);
      case Statement.Read ignored -> run(request, Access.READ);
      case Statement.Write ignored -> run(request, Access.WRITE);
      case Statement.Execute execute -> execute(request, execute.name());
      case Statement.SetValue set -> {
        if (state.set(set.name(), set.value())) {
          answer(List.of(), Optional.empty(), transactionState());
        } else {
          refuse(FailureKind.TOO_LARGE, "too many values");
        }
      }
      case Statement.Prepare prepare -> {
        if (state.prepare(prepare.name(), prepare.shape())) {
          answer(List.of(), Optional.empty(), transactionState());
        } else {
          refuse(FailureKind.TOO_LARGE, "too many prepared statements");
        }
      }
      case Statement.Deallocate deallocate -> {
        if (state.deallocate(deallocate.name())) {
          answer(List.of(), Optional.empty(), transactionState());
        } else {
          refuse(FailureKind.UNKNOWN_STATEMENT, deallocate.name());
        }
      }
      default -> refuse(FailureKind.MALFORMED, "the statement does not fit the session");
    }
  }

  /**
   * Handles a request while the transaction has failed.
   *
   * @param statement The statement.
   */
  private void onRequestAfterFailure(Statement statement) {
    FailureKind failure = transactionFailure.orElseThrow();
    switch (statement) {
      case Statement.Rollback ignored -> {
        endTransaction();
        answer(List.of(), Optional.empty(), TransactionState.IDLE);
      }
      case Statement.Commit ignored -> {
        endTransaction();
        refuse(FailureKind.ROLLED_BACK, "the transaction had failed: " + failure);
      }
      default -> {
        FailureKind told = failureTold ? FailureKind.MALFORMED : FailureKind.ROLLED_BACK;
        failureTold = true;
        refuse(told, "the transaction has failed: " + failure);
      }
    }
  }

  /**
   * Opens a transaction; a member is chosen with its first statement.
   *
   * @param readOnly True if the transaction only reads.
   */
  private void begin(boolean readOnly) {
    Optional<DatabaseRoute> route = route();
    if (transaction.isPresent()) {
      refuse(FailureKind.MALFORMED, "a transaction is open");
    } else if (route.isEmpty()) {
      refuse(FailureKind.UNKNOWN_DATABASE, database.orElseThrow());
    } else {
      transaction =
          Optional.of(new Transaction(route.get(), readOnly, gateway.loop().readClocks()));
      answer(List.of(), Optional.empty(), TransactionState.OPEN);
    }
  }

  /**
   * Executes a prepared statement.
   *
   * @param request The request.
   * @param name The name that the caller chose.
   */
  private void execute(CallerMessage.Request request, String name) {
    Optional<Statement.Shape> shape = state.shape(name);
    if (shape.isPresent()) {
      run(request, shape.get().access());
    } else {
      transaction.ifPresent(open -> failTransaction(FailureKind.UNKNOWN_STATEMENT));
      refuse(FailureKind.UNKNOWN_STATEMENT, name);
    }
  }

  /**
   * Sends a statement to a member.
   *
   * @param request The request.
   * @param access Whether the statement reads or writes.
   */
  private void run(CallerMessage.Request request, Access access) {
    Optional<DatabaseRoute> route = transaction.map(Transaction::route).or(this::route);
    if (route.isEmpty()) {
      refuse(FailureKind.UNKNOWN_DATABASE, database.orElseThrow());
      return;
    }
    if (access == Access.WRITE && transaction.map(Transaction::readOnly).orElse(false)) {
      failTransaction(FailureKind.NOT_PRIMARY);
      refuse(FailureKind.NOT_PRIMARY, "the transaction only reads");
      return;
    }
    StatementExecution run =
        new StatementExecution(
            gateway,
            new StatementContext(
                this, route.get(), transaction, request, access, gateway.loop().readClocks()));
    running = Optional.of(run);
    run.start();
  }

  /**
   * Returns the route in force.
   *
   * @return The route or an empty optional if it was removed.
   */
  private Optional<DatabaseRoute> route() {
    return database.flatMap(name -> gateway.desired().route(name));
  }

  /** Starts the timer that ends an idle transaction. */
  private void startIdleTimer() {
    idleTimer.ifPresent(EventLoop.Timer::cancel);
    idleTimer =
        Optional.of(
            gateway
                .loop()
                .schedule(gateway.desired().transactionIdleMillis(), this::onTransactionIdle));
  }

  /** Rolls a transaction back that stayed idle; its caller is told with its next statement. */
  private void onTransactionIdle() {
    if (transaction.isPresent() && running.isEmpty() && transactionFailure.isEmpty()) {
      failTransaction(FailureKind.ROLLED_BACK);
      failureTold = false;
      gateway.metrics().counter("transactions_ended", "reason", "idle").inc();
    }
  }
}
