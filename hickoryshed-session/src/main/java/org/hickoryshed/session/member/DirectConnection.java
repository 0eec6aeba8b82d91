package org.hickoryshed.session.member;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberMessage;
import org.hickoryshed.session.wire.WireFormat;

/**
 * A network connection of this process to a member, lent to one session at a time.
 *
 * <p>Statements are pipelined: further ones may be sent before the response to the first arrives,
 * and the member responds in order. The connection tracks which session values and prepared
 * statements the member holds, and sends only what the next session lacks.
 */
final class DirectConnection implements MemberConnection, Connection.Handler {

  /** With more prepared statements than this the member's session is reset before the next use. */
  private static final int PREPARED_LIMIT = 256;

  /** The maximum size of the rows of one response; beyond it the connection is closed. */
  private static final int RESPONSE_BYTES_LIMIT = 8 * 1024 * 1024;

  /** A released connection with outstanding responses is closed after this time. */
  private static final long RELEASE_TIMEOUT_MILLIS = 1500;

  private final MemberConnectionPool pool;

  /** The workspace that the connection belongs to, empty if it is in the name of the proxy. */
  private final Optional<String> workspace;

  private final WireFormat wireFormat;
  private final EventLoop loop;
  private final PreparedStatementNames preparedStatementNames;

  /** The exchanges with outstanding responses, in the order in which they were sent. */
  private final Deque<MemberExchange> exchanges = new ArrayDeque<>();

  /** The session values that the member holds, by name. */
  private final Map<String, String> values = new HashMap<>();

  /** The names of the prepared statements that the member holds, as it knows them. */
  private final Set<String> prepared = new HashSet<>();

  private Connection connection;

  /** The transaction state of the member's session, as of its last response. */
  private TransactionState state = TransactionState.IDLE;

  /** True while a released connection waits for outstanding responses. */
  private boolean releasing;

  /** True from the begin of a transaction until the connection is released. */
  private boolean transactionBegun;

  /**
   * True if values or prepared statements were sent inside a transaction; a rollback may have
   * undone them, so what the member holds is unknown.
   */
  private boolean stateUncertain;

  /** True once the member accepted the session. */
  private boolean opened;

  private boolean lent;

  /** True from the lending to a statement that takes a slot until the first such statement. */
  private boolean awaitingStatement;

  /** The statement that the connection was lent to, notified when the connection ends. */
  private Optional<Borrower> borrower = Optional.empty();

  /** Closes the connection if outstanding responses do not arrive in time after its release. */
  private Optional<EventLoop.Timer> releaseTimer = Optional.empty();

  private long idleSince;

  DirectConnection(MemberConnectionPool pool, Optional<String> workspace, MemberContext context) {
    this.pool = pool;
    this.workspace = workspace;
    loop = context.loop();
    wireFormat = context.wireFormat();
    preparedStatementNames = context.preparedStatementNames();
  }

  /**
   * Requests a session from the member.
   *
   * @param underlying The network connection, which may not be established yet.
   * @param proxy The name of this proxy.
   */
  void open(Connection underlying, String proxy) {
    connection = underlying;
    wireFormat.writeOpen(
        connection.output(), pool.entry().pool(), workspace.orElse(proxy), pool.entry().id());
  }

  @Override
  public MemberConnectionPool pool() {
    return pool;
  }

  /**
   * Returns when the connection was last released, or opened if it was never lent.
   *
   * @return The time in nanoseconds of the monotonic clock.
   */
  long idleSince() {
    return idleSince;
  }

  /** Returns the workspace that the connection belongs to, empty if it is the proxy's own. */
  Optional<String> workspace() {
    return workspace;
  }

  /** Checks if the member accepted the session, so that the connection can be used. */
  boolean isOpened() {
    return opened;
  }

  private void setAwaitingStatement(boolean awaiting) {
    if (awaiting != awaitingStatement) {
      awaitingStatement = awaiting;
      pool.traffic().countReserved(awaiting ? 1 : -1);
    }
  }

  /** Checks if the connection was opened and no statement uses it at present. */
  boolean isUnused() {
    return opened && !lent;
  }

  /** Checks if the member holds exactly the values of a session, so that none has to be sent. */
  boolean hasValuesOf(SessionState session) {
    return values.equals(session.values());
  }

  @Override
  public boolean isClosed() {
    return connection.isClosed();
  }

  /** Marks this connection as lent to the session of a statement. */
  void lend(Borrower to) {
    lent = true;
    setAwaitingStatement(!to.isOfProxy());
    borrower = Optional.of(to);
  }

  @Override
  public void applySession(SessionState session) {
    if (state == TransactionState.IDLE && exchanges.isEmpty() && mustReset(session)) {
      wireFormat.writeReset(connection.output());
      expectResponse(ignored -> {}, true);
      values.clear();
      prepared.clear();
      stateUncertain = false;
    }
    session
        .values()
        .forEach(
            (name, value) -> {
              if (!value.equals(values.get(name))) {
                send(Optional.empty(), new Statement.SetValue(name, value), ignored -> {}, true);
                values.put(name, value);
                stateUncertain |= transactionBegun;
              }
            });
  }

  /**
   * Checks if the member's session must be reset before it serves a caller's session.
   *
   * @return {@code true} if the member holds too many prepared statements, values that the caller's
   *     session lacks, or an unknown state.
   */
  private boolean mustReset(SessionState session) {
    return stateUncertain
        || prepared.size() > PREPARED_LIMIT
        || !session.values().keySet().containsAll(values.keySet());
  }

  @Override
  public void prepare(Statement.Shape shape) {
    preparedName(shape);
  }

  @Override
  public void execute(
      String id,
      Optional<LogPosition> required,
      Statement.Shape shape,
      String arguments,
      Consumer<MemberResponse> receiver) {
    forward(id, required, wireFormat.formatExecute(preparedName(shape), arguments), receiver);
  }

  @Override
  public void onStatementTimeout(long since) {
    pool.onStatementTimeout(since);
  }

  /** Prepares a statement at the member unless it is prepared, and returns its name there. */
  private String preparedName(Statement.Shape shape) {
    String name = preparedStatementNames.of(shape);
    if (prepared.add(name)) {
      send(Optional.empty(), new Statement.Prepare(name, shape), ignored -> {}, true);
      stateUncertain |= transactionBegun;
    }
    return name;
  }

  @Override
  public void begin(
      boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    send(
        required,
        new Statement.Begin(readOnly),
        required.isEmpty() ? receiver : pool.traffic().trackRelayed(required, receiver),
        false);
    pool.watchForResponse();
    transactionBegun = true;
  }

  @Override
  public void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver) {
    wireFormat.writeCallerStatement(connection.output(), id, required, text);
    setAwaitingStatement(false);
    expectResponse(pool.traffic().trackDirect(required, receiver), false);
  }

  @Override
  public void command(MemberCommand command, Consumer<MemberResponse> receiver) {
    wireFormat.writeCommand(connection.output(), command);
    expectResponse(receiver, false);
  }

  @Override
  public void rollback() {
    send(Optional.empty(), new Statement.Rollback(), ignored -> {}, true);
  }

  @Override
  public void release() {
    if (connection.isClosed() || !lent) {
      return;
    }
    lent = false;
    setAwaitingStatement(false);
    borrower = Optional.empty();
    releasing = true;
    transactionBegun = false;
    idleSince = loop.now();
    if (exchanges.isEmpty()) {
      finishRelease();
    } else {
      releaseTimer =
          Optional.of(
              loop.schedule(RELEASE_TIMEOUT_MILLIS, () -> abort("no response after release")));
    }
  }

  @Override
  public void abort(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  @Override
  public void onConnected() {
    // The output already contains the session request; the event loop sends it now.
  }

  @Override
  public void onInput(ByteBuffer input) {
    for (Optional<MemberMessage> next = wireFormat.decodeMemberMessage(input);
        next.isPresent() && !connection.isClosed();
        next = wireFormat.decodeMemberMessage(input)) {
      onMessage(next.get());
    }
  }

  @Override
  public void onClosed(String reason) {
    setAwaitingStatement(false);
    releaseTimer.ifPresent(EventLoop.Timer::cancel);
    pool.onConnectionClosed(this, opened, reason);
    for (MemberExchange next = exchanges.poll(); next != null; next = exchanges.poll()) {
      next.deliverOnClose(reason);
    }
    borrower.ifPresent(lentTo -> lentTo.onConnectionLost(reason));
    borrower = Optional.empty();
  }

  private void onMessage(MemberMessage message) {
    MemberExchange current = exchanges.peek();
    switch (message) {
      case MemberMessage.Ready ready -> onMemberReady(ready);
      case MemberMessage.Failure failure when !opened ->
          onOpenRefused(failure.kind(), failure.text());
      case MemberMessage.Row row when current != null && !current.hasOutcome() -> {
        current.addRow(row.data());
        if (current.rowBytes() > RESPONSE_BYTES_LIMIT) {
          abort("the response is too large");
        } else if (!connection.chargeRows(current.rowBytes())) {
          abort("no memory for the response");
        }
      }
      case MemberMessage.Done done when current != null && !current.hasOutcome() ->
          current.setOutcome(done);
      case MemberMessage.Failure failure when current != null && !current.hasOutcome() ->
          current.setOutcome(failure);
      default -> abort("the member sent an unexpected message");
    }
  }

  private void onOpenRefused(FailureKind kind, String text) {
    pool.onOpenRefused(kind, text);
    abort("refused: " + kind);
  }

  /** Handles the message that opens the session or completes the current response. */
  private void onMemberReady(MemberMessage.Ready ready) {
    ready.position().ifPresent(position -> pool.onPosition(position));
    state = ready.state();
    if (!opened) {
      opened = true;
      idleSince = loop.now();
      pool.onOpened(this);
      return;
    }
    MemberExchange current = exchanges.peek();
    if (current == null || !current.hasOutcome()) {
      abort("the member ended a response without an outcome");
      return;
    }
    exchanges.poll();
    connection.chargeRows(0);
    pool.onResponse(loop.now() - current.sentAt().monotonicNanos());
    if (current.invalidatesConnection()) {
      abort("a statement that the session depends on failed");
      return;
    }
    current.deliver(ready.state(), ready.position());
    pool.serveWaiting();
    if (releasing && exchanges.isEmpty() && !connection.isClosed()) {
      finishRelease();
    }
  }

  /**
   * Returns this connection to the pool, or rolls back the open transaction first; the response to
   * the rollback calls this method again.
   */
  private void finishRelease() {
    if (state != TransactionState.IDLE) {
      rollback();
      return;
    }
    releaseTimer.ifPresent(EventLoop.Timer::cancel);
    releaseTimer = Optional.empty();
    releasing = false;
    pool.onReleased(this);
  }

  /**
   * Sends a statement that this proxy generated.
   *
   * @param required The position that the member's log must hold, if any.
   * @param mustSucceed True if the connection is unusable after the statement failed.
   */
  private void send(
      Optional<LogPosition> required,
      Statement statement,
      Consumer<MemberResponse> receiver,
      boolean mustSucceed) {
    wireFormat.writeProxyStatement(connection.output(), required, statement);
    expectResponse(receiver, mustSucceed);
  }

  /** Queues the exchange for the response to what was sent last. */
  private void expectResponse(Consumer<MemberResponse> receiver, boolean mustSucceed) {
    exchanges.add(new MemberExchange(loop.readClocks(), receiver, mustSucceed));
  }
}
