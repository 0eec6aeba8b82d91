package org.hickoryshed.session.caller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.wire.CallerMessage;

/**
 * A session of a caller: its connection, open transaction, values and prepared statements.
 *
 * <p>A session executes one statement at a time; what the caller sends meanwhile stays in the input
 * buffer of its connection. Values and prepared statements are kept here and applied to whichever
 * member runs a statement. All methods are called on the event loop.
 */
public final class CallerSession implements Connection.Handler {

  private final SessionContext context;

  /** The values and prepared statements, under the names that the caller chose. */
  private final SessionState sessionState = new SessionState();

  private Connection connection;

  /** What the caller opened, empty until then. */
  private Optional<SessionIdentity> identity = Optional.empty();

  /** Replaced once the caller has opened a database. */
  private OperationQuota quota;

  private final SessionRevocation revocation;

  /** The open transaction; it stays here after a failure until the caller ends it. */
  private Optional<Transaction> transaction = Optional.empty();

  /** Why the transaction failed, empty unless it did. */
  private Optional<FailureKind> transactionFailure = Optional.empty();

  /** True if a response has told the caller that the transaction failed. */
  private boolean failureReported;

  /** The statement that is being executed. */
  private Optional<StatementExecution> execution = Optional.empty();

  /** True while opening a database waits for the first desired state. */
  private boolean opening;

  /** True while {@link #onInput} loops over received messages, so that input needs no resuming. */
  private boolean handlingInput;

  /** True if no further statement is executed, since the session or the process ends. */
  private boolean refusing;

  /** True once the input that was received before the close is being refused. */
  private boolean refusingInput;

  /** True if the session is to be closed as soon as it is idle. */
  private boolean closeRequested;

  /** When the last message arrived, in nanoseconds of the monotonic clock. */
  private long usedAt;

  private final SessionCommits commits = new SessionCommits();

  private final SessionTimer timer;

  /**
   * Creates a session that has no connection yet.
   *
   * @param context What all sessions share.
   */
  public CallerSession(SessionContext context) {
    this.context = context;
    quota = new OperationQuota(context, Optional.empty());
    revocation = new SessionRevocation(context, this);
    timer = new SessionTimer(context, this);
  }

  /**
   * Attaches the caller's connection; called once. The session is closed if the caller does not
   * open a database in time.
   *
   * @param accepted The connection, with this session as its handler.
   */
  public void attach(Connection accepted) {
    connection = accepted;
    usedAt = context.loop().now();
    timer.awaitOpening();
  }

  /** Closes this session as soon as no statement and no transaction is open. */
  public void closeWhenIdle() {
    closeRequested = true;
    closeIfIdle();
  }

  /**
   * Refuses all further statements, since this process is about to stop, and closes this session as
   * soon as it is idle. The running statement is finished; an open transaction is rolled back after
   * it, which the response to the next statement reports.
   */
  public void refuseStatements() {
    refusing = true;
    if (execution.isEmpty()) {
      rollBackUnasked("stop");
    }
    closeWhenIdle();
  }

  /**
   * Ends this session now, since this process stops: the running statement gets a response that
   * says truly whether it may have run.
   */
  public void finishForStop() {
    refuseStatements();
    execution.ifPresent(StatementExecution::finishForStop);
    if (opening) {
      failAndClose(FailureKind.OVERLOADED, FailureTexts.PROCESS_STOPS);
    } else {
      connection.closeAfterFlush();
    }
  }

  /** Checks if the key still identifies the workspace; called for each new desired state. */
  public void checkIdentity() {
    identity.ifPresent(revocation::check);
  }

  /** Closes this session, which is idle, and tells the caller why. */
  void closeForWithdrawnKey() {
    if (!connection.isClosing()) {
      failAndClose(FailureKind.NOT_AUTHORIZED, FailureTexts.KEY_WITHDRAWN);
    }
  }

  /**
   * Closes this session now: the running statement is abandoned and an open transaction rolled
   * back. Has no effect on a closed session.
   *
   * @param reason Why it is closed.
   */
  public void close(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  @Override
  public void onConnected() {
    // Only for outgoing connections.
  }

  @Override
  public void onInput(ByteBuffer input) {
    handlingInput = true;
    try {
      while (!isBusy()
          && !connection.isOutputHigh()
          && (!connection.isClosing() || refusingInput)) {
        Optional<CallerMessage> next = context.wireFormat().decodeCallerMessage(input);
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
  public boolean mayComplete(ByteBuffer input, int from) {
    return context.wireFormat().mayComplete(input, from);
  }

  @Override
  public boolean isBusy() {
    return execution.isPresent() || opening;
  }

  @Override
  public void onClosed(String reason) {
    timer.cancel();
    execution.ifPresent(StatementExecution::abandon);
    execution = Optional.empty();
    transaction.ifPresent(Transaction::release);
    transaction = Optional.empty();
    context.onSessionEnded(this);
  }

  /** Returns when the last message came, in nanoseconds; empty if something is open or runs. */
  public OptionalLong idleSince() {
    return isBusy() || transaction.isPresent() ? OptionalLong.empty() : OptionalLong.of(usedAt);
  }

  /** Checks if the caller has opened a database. */
  public boolean hasDatabase() {
    return identity.isPresent();
  }

  /** Returns the values and prepared statements of this session. */
  SessionState sessionState() {
    return sessionState;
  }

  /** Returns the workspace of this session, empty if it needed no key. */
  Optional<String> workspace() {
    return identity.flatMap(SessionIdentity::workspace);
  }

  /**
   * Handles the end of the running statement.
   *
   * @param reachedMember True if it was sent to a member.
   */
  void onStatementEnded(boolean reachedMember) {
    quota.onStatementEnded(reachedMember);
  }

  /** Returns what the reads of this session must see of its own commits; not a copy. */
  SessionCommits commits() {
    return commits;
  }

  /**
   * Responds to the current statement with its result.
   *
   * @param rows The rows, empty for a statement that returns none.
   * @param proof The member's proof that it ran the statement, empty if this process responds
   *     without a member.
   * @param after The transaction state after the statement.
   */
  void respond(List<String> rows, Optional<String> proof, TransactionState after) {
    rows.forEach(row -> context.wireFormat().writeRow(connection.output(), row));
    context.wireFormat().writeDone(connection.output(), proof);
    completeStatement(after);
  }

  /**
   * Responds to the current statement with a failure.
   *
   * @param kind How it failed.
   * @param text An explanation for people.
   */
  void respondWithFailure(FailureKind kind, String text) {
    context.wireFormat().writeFailure(connection.output(), kind, text);
    completeStatement(transactionState());
  }

  /**
   * Fails the open transaction: its connection is given back, which rolls it back, and the caller
   * can only end it. The response that follows is expected to report the failure.
   *
   * @param kind How it failed.
   */
  void failTransaction(FailureKind kind) {
    transactionFailure = Optional.of(kind);
    failureReported = true;
    transaction.ifPresent(Transaction::release);
  }

  /** Forgets the transaction, which rolls it back unless it was committed. */
  void endTransaction() {
    transaction.ifPresent(Transaction::release);
    transaction = Optional.empty();
    transactionFailure = Optional.empty();
    timer.cancel();
  }

  /** Returns the transaction state as the caller sees it. */
  TransactionState transactionState() {
    if (transaction.isEmpty()) {
      return TransactionState.IDLE;
    }
    return transactionFailure.isPresent() ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /** Ends the response to the current statement and continues with the next received message. */
  private void completeStatement(TransactionState after) {
    execution = Optional.empty();
    context.wireFormat().writeReady(connection.output(), after);
    if (after == TransactionState.OPEN && refusing) {
      rollBackUnasked("stop");
    } else if (after == TransactionState.OPEN) {
      timer.restart();
    }
    if (!revocation.advance() && !closeIfIdle() && !handlingInput) {
      connection.resumeInput();
    }
  }

  /**
   * Closes this session if that was requested and nothing is open. Statements that were received
   * already are refused, so that none is left without a response. A session that has not opened a
   * database yet stays, because the request for it may be on its way.
   *
   * @return {@code true} if it is closed once its output is sent.
   */
  private boolean closeIfIdle() {
    boolean idle = identity.isPresent() && execution.isEmpty() && transaction.isEmpty();
    if (!closeRequested || !idle) {
      return false;
    }
    connection.closeAfterFlush();
    if (!refusingInput) {
      refusing = true;
      refusingInput = true;
      if (!handlingInput) {
        connection.resumeInput();
      }
    }
    return true;
  }

  /**
   * Rolls an open transaction back; the response to the caller's next statement reports it.
   *
   * @param reason Why, for the metrics.
   */
  void rollBackUnasked(String reason) {
    if (transaction.isPresent() && transactionFailure.isEmpty()) {
      failTransaction(FailureKind.ROLLED_BACK);
      failureReported = false;
      context.metrics().counter("transactions_ended", "reason", reason).inc();
    }
  }

  private void onMessage(CallerMessage message) {
    usedAt = context.loop().now();
    switch (message) {
      case CallerMessage.Open open when identity.isEmpty() -> open(open);
      case CallerMessage.Request request when identity.isPresent() -> onRequest(request);
      case CallerMessage.Leave ignored -> close("closed by the caller");
      case CallerMessage.Unreadable unreadable -> reject(unreadable.kind());
      default -> reject(FailureKind.MALFORMED);
    }
  }

  /**
   * Rejects a message that can't be parsed, or that is not valid in the session's state, and closes
   * the session.
   */
  private void reject(FailureKind kind) {
    context.metrics().counter("caller_messages_rejected", "kind", kind.name()).inc();
    failAndClose(kind, "the message can't be read");
  }

  private void failAndClose(FailureKind kind, String text) {
    opening = false;
    context.wireFormat().writeFailure(connection.output(), kind, text);
    connection.closeAfterFlush();
  }

  private void open(CallerMessage.Open message) {
    if (refusing) {
      failAndClose(FailureKind.OVERLOADED, FailureTexts.PROCESS_STOPS);
      return;
    }
    opening = true;
    SessionOpening.start(
        context, connection::isClosed, message, this::onOpened, this::failAndClose);
  }

  private void onOpened(SessionIdentity opened) {
    opening = false;
    identity = Optional.of(opened);
    quota = new OperationQuota(context, opened.workspace());
    timer.cancel();
    completeStatement(TransactionState.IDLE);
  }

  /**
   * Handles a statement of the caller. Statements on the session itself are handled here; the
   * others are sent to a member.
   */
  private void onRequest(CallerMessage.Request request) {
    timer.cancel();
    if (transactionFailure.isPresent()) {
      onRequestAfterFailure(request.statement());
      return;
    }
    if (refusing) {
      respondWithFailure(FailureKind.OVERLOADED, FailureTexts.PROCESS_STOPS);
      return;
    }
    switch (request.statement()) {
      case Statement.Begin begin -> begin(begin.readOnly());
      case Statement.Rollback ignored when transaction.isPresent() -> {
        endTransaction();
        respond(List.of(), Optional.empty(), TransactionState.IDLE);
      }
      case Statement.Commit ignored when transaction.isPresent() -> execute(request, Access.READ);
      case Statement.Read ignored -> execute(request, Access.READ);
      case Statement.Write ignored -> execute(request, Access.WRITE);
      case Statement.Execute execute -> executePrepared(request, execute.name());
      case Statement.SetValue set -> changeState(set);
      case Statement.Prepare prepare -> changeState(prepare);
      case Statement.Deallocate deallocate -> changeState(deallocate);
      default ->
          respondWithFailure(
              FailureKind.MALFORMED, "the statement is not valid in the state of the session");
    }
  }

  /**
   * Handles a statement after the transaction failed: only a commit or rollback ends the
   * transaction, and a commit reports that it was rolled back.
   */
  private void onRequestAfterFailure(Statement statement) {
    FailureKind failure = transactionFailure.orElseThrow();
    switch (statement) {
      case Statement.Rollback ignored -> {
        endTransaction();
        respond(List.of(), Optional.empty(), TransactionState.IDLE);
      }
      case Statement.Commit ignored -> {
        endTransaction();
        respondWithFailure(FailureKind.ROLLED_BACK, "the transaction had failed: " + failure);
      }
      default -> {
        FailureKind reported = failureReported ? FailureKind.MALFORMED : FailureKind.ROLLED_BACK;
        failureReported = true;
        respondWithFailure(reported, "the transaction has failed: " + failure);
      }
    }
  }

  /** Opens a transaction; its member is selected with the first statement. */
  private void begin(boolean readOnly) {
    Optional<DatabaseRoute> route = route();
    if (transaction.isPresent()) {
      respondWithFailure(FailureKind.MALFORMED, "a transaction is already open");
    } else if (route.isEmpty()) {
      respondWithFailure(FailureKind.UNKNOWN_DATABASE, identity.orElseThrow().database());
    } else {
      transaction =
          Optional.of(new Transaction(route.get(), readOnly, context.loop().readClocks()));
      respond(List.of(), Optional.empty(), TransactionState.OPEN);
    }
  }

  /** Executes a statement that the caller prepared under the given name. */
  private void executePrepared(CallerMessage.Request request, String name) {
    Optional<Statement.Shape> shape = sessionState.shape(name);
    if (shape.isPresent()) {
      execute(request, shape.get().access());
    } else {
      transaction.ifPresent(open -> failTransaction(FailureKind.UNKNOWN_STATEMENT));
      respondWithFailure(FailureKind.UNKNOWN_STATEMENT, name);
    }
  }

  /** Executes a statement at a member, unless it writes in a read-only transaction. */
  private void execute(CallerMessage.Request request, Access access) {
    Optional<DatabaseRoute> route = transaction.map(Transaction::route).or(this::route);
    if (route.isEmpty()) {
      respondWithFailure(FailureKind.UNKNOWN_DATABASE, identity.orElseThrow().database());
      return;
    }
    if (access == Access.WRITE && transaction.map(Transaction::readOnly).orElse(false)) {
      failTransaction(FailureKind.NOT_PRIMARY);
      respondWithFailure(FailureKind.NOT_PRIMARY, "the transaction is read-only");
      return;
    }
    StatementExecution started =
        new StatementExecution(
            context,
            new StatementContext(
                this, route.get(), transaction, request, access, context.loop().readClocks()));
    execution = Optional.of(started);
    quota.start(started, transaction);
  }

  /** Responds to a statement on the session itself, with a success or with a failure. */
  private void changeState(Statement statement) {
    SessionStateChange.apply(statement, sessionState, connection)
        .ifPresentOrElse(
            refusal -> respondWithFailure(refusal.kind(), refusal.text()),
            () -> respond(List.of(), Optional.empty(), transactionState()));
  }

  /** Returns the route in force, empty if it was removed since the database was opened. */
  private Optional<DatabaseRoute> route() {
    return identity.flatMap(opened -> context.desired().route(opened.database()));
  }
}
