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
import org.hickoryshed.session.wire.MemberMessage;
import org.hickoryshed.session.wire.WireFormat;

/**
 * A connection of this process to a member, used by one session at a time.
 *
 * <p>Statements may be sent behind each other; the member answers them in order.
 */
final class DirectConnection implements MemberConnection, Connection.Handler {

  /** The number of prepared statements after which the connection is reset. */
  private static final int PREPARED_LIMIT = 256;

  /** The highest number of bytes of the rows of one answer. */
  private static final int ANSWER_LIMIT = 8 * 1024 * 1024;

  /** The time that a released connection has to answer what was sent, in milliseconds. */
  private static final long RELEASE_TIMEOUT_MILLIS = 1500;

  /** The pool that owns this connection. */
  private final MemberPool pool;

  /** The format of the messages. */
  private final WireFormat format;

  /** The loop that owns the connection. */
  private final EventLoop loop;

  /** The names of prepared statements at members. */
  private final PreparedStatementNames preparedNames;

  /** The exchanges whose answers are outstanding, in the order in which they were sent. */
  private final Deque<MemberExchange> exchanges = new ArrayDeque<>();

  /** The session values that the member holds. */
  private final Map<String, String> values = new HashMap<>();

  /** The names of the prepared statements that the member holds. */
  private final Set<String> prepared = new HashSet<>();

  /** The underlying connection. */
  private Connection connection;

  /** The state of the session at the member, as of its last answer. */
  private TransactionState state = TransactionState.IDLE;

  /** True while a released connection waits for outstanding answers. */
  private boolean releasing;

  /** True since a transaction was begun and until the connection is given back. */
  private boolean transactionBegun;

  /**
   * True if values or prepared statements were sent inside a transaction, whose end may or may not
   * have taken them back.
   */
  private boolean stateUncertain;

  /** True once the member took the session. */
  private boolean opened;

  /** True while the connection belongs to a session. */
  private boolean leased;

  /** What is told that the leased connection ended. */
  private Optional<Borrower> holder = Optional.empty();

  /** Closes the connection if a released one does not answer in time. */
  private Optional<EventLoop.Timer> releaseTimer = Optional.empty();

  /** The reading of the steady clock when the connection was last released. */
  private long idleSince;

  /**
   * Creates a new connection.
   *
   * @param pool The pool that owns the connection.
   * @param context What all pools share.
   */
  DirectConnection(MemberPool pool, MemberContext context) {
    this.pool = pool;
    loop = context.loop();
    format = context.format();
    preparedNames = context.preparedNames();
  }

  /**
   * Takes the underlying connection and asks the member for a session.
   *
   * @param established The underlying connection.
   * @param proxy The name of this proxy.
   */
  void open(Connection established, String proxy) {
    connection = established;
    format.writeOpen(connection.output(), pool.entry().pool(), proxy, pool.entry().id());
  }

  @Override
  public MemberPool pool() {
    return pool;
  }

  /**
   * Returns the time since which this connection is idle.
   *
   * @return The reading of the steady clock in nanoseconds.
   */
  long idleSince() {
    return idleSince;
  }

  /**
   * Checks if the member took the session.
   *
   * @return {@code true} once the connection can be used.
   */
  boolean isOpened() {
    return opened;
  }

  /**
   * Checks if the member holds the values of a session.
   *
   * @param session The session.
   * @return {@code true} if no value has to be sent.
   */
  boolean holdsValuesOf(SessionState session) {
    return values.equals(session.values());
  }

  @Override
  public boolean isClosed() {
    return connection.isClosed();
  }

  /**
   * Marks this connection as used by a session.
   *
   * @param borrower The statement that uses it first.
   */
  void lease(Borrower borrower) {
    leased = true;
    holder = Optional.of(borrower);
  }

  @Override
  public void applySession(SessionState session) {
    if (state == TransactionState.IDLE && exchanges.isEmpty() && mustReset(session)) {
      format.writeReset(connection.output());
      expect(ignored -> {}, true);
      values.clear();
      prepared.clear();
      stateUncertain = false;
    }
    session
        .values()
        .forEach(
            (name, value) -> {
              if (!value.equals(values.get(name))) {
                sendOwn(Optional.empty(), new Statement.SetValue(name, value), ignored -> {}, true);
                values.put(name, value);
                stateUncertain |= transactionBegun;
              }
            });
  }

  /**
   * Checks if the member's session has to be cleared for another session.
   *
   * @param session The caller's session.
   * @return {@code true} if it holds too much or what it holds is not known.
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
    forward(id, required, format.formatExecute(preparedName(shape), arguments), receiver);
  }

  @Override
  public void noteTimeout(long since) {
    pool.noteTimeout(since);
  }

  /**
   * Makes sure that the member knows a prepared statement.
   *
   * @param shape What is prepared.
   * @return The name of the prepared statement at the member.
   */
  private String preparedName(Statement.Shape shape) {
    String name = preparedNames.of(shape);
    if (prepared.add(name)) {
      sendOwn(Optional.empty(), new Statement.Prepare(name, shape), ignored -> {}, true);
      stateUncertain |= transactionBegun;
    }
    return name;
  }

  @Override
  public void begin(
      boolean readOnly, Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    sendOwn(required, new Statement.Begin(readOnly), receiver, false);
    pool.watchForAnswer();
    transactionBegun = true;
  }

  @Override
  public void forward(
      String id, Optional<LogPosition> required, String text, Consumer<MemberResponse> receiver) {
    format.writeCallerStatement(connection.output(), id, required, text);
    expect(receiver, false);
  }

  @Override
  public void askStatus(Consumer<MemberResponse> receiver) {
    format.writeStatusRequest(connection.output());
    expect(receiver, false);
  }

  @Override
  public void rollback() {
    sendOwn(Optional.empty(), new Statement.Rollback(), ignored -> {}, true);
  }

  @Override
  public void release() {
    if (connection.isClosed() || !leased) {
      return;
    }
    leased = false;
    holder = Optional.empty();
    releasing = true;
    transactionBegun = false;
    idleSince = loop.now();
    if (exchanges.isEmpty()) {
      finishRelease();
    } else {
      releaseTimer =
          Optional.of(
              loop.schedule(RELEASE_TIMEOUT_MILLIS, () -> abort("no answer after its release")));
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
    // The request for a session is already in the output.
  }

  @Override
  public void onInput(ByteBuffer input) {
    for (Optional<MemberMessage> next = format.decodeMemberMessage(input);
        next.isPresent() && !connection.isClosed();
        next = format.decodeMemberMessage(input)) {
      onMessage(next.get());
    }
  }

  @Override
  public void onClosed(String reason) {
    releaseTimer.ifPresent(EventLoop.Timer::cancel);
    pool.onConnectionClosed(this, opened, reason);
    for (MemberExchange next = exchanges.poll(); next != null; next = exchanges.poll()) {
      next.deliverOnClose(reason);
    }
    holder.ifPresent(borrower -> borrower.onConnectionLost(reason));
    holder = Optional.empty();
  }

  /**
   * Handles a message.
   *
   * @param message The message.
   */
  private void onMessage(MemberMessage message) {
    MemberExchange current = exchanges.peek();
    switch (message) {
      case MemberMessage.Ready ready -> onMemberReady(ready);
      case MemberMessage.Failure failure when !opened ->
          refuseOpening(failure.kind(), failure.text());
      case MemberMessage.Row row when current != null && !current.hasEnded() -> {
        current.addRow(row.data());
        if (current.rowBytes() > ANSWER_LIMIT) {
          abort("an answer is too large");
        }
      }
      case MemberMessage.Done done when current != null && !current.hasEnded() -> current.end(done);
      case MemberMessage.Failure failure when current != null && !current.hasEnded() ->
          current.end(failure);
      default -> abort("the member sent an unexpected message");
    }
  }

  /**
   * Handles the refusal of a new session.
   *
   * @param kind How it was refused.
   * @param text The text of the member.
   */
  private void refuseOpening(FailureKind kind, String text) {
    pool.onOpeningRefused(kind, text);
    abort("refused: " + kind);
  }

  /**
   * Handles the readiness of the member, which completes the current answer.
   *
   * @param ready The readiness.
   */
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
    if (current == null || !current.hasEnded()) {
      abort("the member ended an answer without its outcome");
      return;
    }
    exchanges.poll();
    pool.onResponse(loop.now() - current.asked().steadyNanos());
    if (current.hasFailedBadly()) {
      abort("the member refused the state of a session");
      return;
    }
    current.deliver(ready.state(), ready.position());
    if (releasing && exchanges.isEmpty() && !connection.isClosed()) {
      finishRelease();
    }
  }

  /** Rolls an open transaction back or makes this connection available. */
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
   * Sends a statement of this proxy.
   *
   * @param required The position that the member's log must hold, if any.
   * @param statement The statement.
   * @param receiver The receiver of the answer.
   * @param mustSucceed True if the connection is useless when the statement fails.
   */
  private void sendOwn(
      Optional<LogPosition> required,
      Statement statement,
      Consumer<MemberResponse> receiver,
      boolean mustSucceed) {
    format.writeProxyStatement(connection.output(), required, statement);
    expect(receiver, mustSucceed);
  }

  /**
   * Expects the answer to what was sent last.
   *
   * @param receiver The receiver of the answer.
   * @param mustSucceed True if the connection is useless when the statement fails.
   */
  private void expect(Consumer<MemberResponse> receiver, boolean mustSucceed) {
    exchanges.add(new MemberExchange(loop.readClocks(), receiver, mustSucceed));
  }
}
