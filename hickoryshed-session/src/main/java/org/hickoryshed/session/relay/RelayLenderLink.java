package org.hickoryshed.session.relay;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;

/**
 * The lending end of a relay link: lends connections of this proxy to one other proxy and responds
 * to its directory requests.
 */
final class RelayLenderLink implements Connection.Handler {

  /** The largest number of loans at a time over one link. */
  private static final int MAX_LOANS = 1024;

  private static final long NANOS_PER_MICRO = 1000;

  private final EventLoop loop;

  private final Function<String, Optional<Database>> databases;

  private final Function<DirectoryRequest, DirectoryUpdate> directoryResponder;

  /**
   * The loans by their numbers, including those that wait for a connection; concurrent, because any
   * thread may call {@link #loanCount()}.
   */
  private final Map<Long, Loan> loans = new ConcurrentHashMap<>();

  /** Called once the link has ended. */
  private final Consumer<RelayLenderLink> onEnd;

  private Connection connection;

  /** The size of what the sessions of all loans hold. */
  private long valueBytes;

  /**
   * Creates a lending end; {@link #attach(Connection)} must follow.
   *
   * @param loop The event loop that owns the link.
   * @param databases Finds a database by the name of its pool.
   * @param directoryResponder Responds to directory requests.
   * @param onEnd Called once the link has ended.
   */
  RelayLenderLink(
      EventLoop loop,
      Function<String, Optional<Database>> databases,
      Function<DirectoryRequest, DirectoryUpdate> directoryResponder,
      Consumer<RelayLenderLink> onEnd) {
    this.loop = loop;
    this.databases = databases;
    this.directoryResponder = directoryResponder;
    this.onEnd = onEnd;
  }

  /** Sets the connection that the link runs over. */
  void attach(Connection accepted) {
    connection = accepted;
  }

  /**
   * Counts the connections that the other proxy borrows or waits for; may be called by any thread.
   */
  int loanCount() {
    return loans.size();
  }

  @Override
  public void onConnected() {
    // Links are opened by the borrowing proxy.
  }

  @Override
  public void onInput(ByteBuffer input) {
    try {
      for (Optional<RelayMessage> next = RelayCodec.decodeNext(input);
          next.isPresent() && !connection.isClosed();
          next = connection.isOutputHigh() ? Optional.empty() : RelayCodec.decodeNext(input)) {
        onMessage(next.get());
      }
    } catch (RelayCodec.MalformedMessageException exception) {
      close("malformed: " + exception.getMessage());
    }
  }

  @Override
  public boolean isInUse() {
    return !loans.isEmpty();
  }

  /** Closes this link and gives back what it lends; has no effect on a closed link. */
  void close(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  @Override
  public void onClosed(String reason) {
    List.copyOf(loans.values()).forEach(loan -> loan.returnConnection(false));
    loans.clear();
    onEnd.accept(this);
  }

  private void onMessage(RelayMessage message) {
    switch (message) {
      case RelayMessage.Borrow borrow -> lend(borrow);
      case RelayMessage.Ping ignored -> send(new RelayMessage.Pong());
      case RelayMessage.AskDirectory ask ->
          send(new RelayMessage.Directory(directoryResponder.apply(ask.request())));
      case RelayMessage.ToBorrower ignored ->
          close("received a message meant for a borrowing proxy");
      case RelayMessage.LoanMessage loanMessage ->
          // The number is unknown once the loan has ended here; the borrower was told of the end.
          Optional.ofNullable(loans.get(loanMessage.loan()))
              .ifPresent(loan -> loan.onMessage(loanMessage));
    }
  }

  /** Lends a connection now or once one is free, or refuses. */
  private void lend(RelayMessage.Borrow borrow) {
    Optional<Database> database = databases.apply(borrow.pool());
    Optional<MemberConnectionPool> pool =
        database.flatMap(known -> known.connectionPool(borrow.member()));
    if (pool.isEmpty()) {
      send(
          new RelayMessage.Unavailable(
              borrow.loan(), "the lending proxy does not know the member", false));
    } else if (!pool.get().isDirectlyReachable()) {
      send(
          new RelayMessage.Unavailable(
              borrow.loan(), "the lending proxy does not reach the member", false));
    } else if (loans.size() >= MAX_LOANS) {
      send(new RelayMessage.Unavailable(borrow.loan(), "too many loans over one link", false));
    } else if (borrow.mayDecline()
        && database.get().readers().isEven()
        && pool.get().prefersOther()) {
      send(new RelayMessage.Unavailable(borrow.loan(), "the member is busy", true));
    } else {
      Loan loan = new Loan(borrow, database.get(), pool.get());
      loans.put(borrow.loan(), loan);
      pool.get().borrowDirectly(loan);
    }
  }

  private void send(RelayMessage.ToBorrower message) {
    if (!connection.isClosed()) {
      connection.output().append(RelayCodec.encode(message));
    }
  }

  /** A loan: a connection of this proxy that the other proxy uses or waits for. */
  private final class Loan implements Borrower {

    private final long number;

    private final int priority;

    private final Optional<String> workspace;

    private final Database database;

    private final MemberConnectionPool pool;

    private final SessionState state = new SessionState();

    private Optional<MemberConnection> lent = Optional.empty();

    /**
     * The monotonic clock reading in nanoseconds when the last statement was sent, or the
     * connection lent.
     */
    private long sentAt;

    private Loan(RelayMessage.Borrow borrow, Database database, MemberConnectionPool pool) {
      number = borrow.loan();
      priority = borrow.priority();
      workspace = borrow.workspace();
      this.database = database;
      this.pool = pool;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public Optional<String> workspace() {
      return workspace;
    }

    @Override
    public SessionState session() {
      return state;
    }

    @Override
    public void onConnection(MemberConnection connection) {
      lent = Optional.of(connection);
      sentAt = loop.now();
      send(
          new RelayMessage.Lent(
              number, pool.traffic().inFlight(), pool.traffic().responseNanos() / NANOS_PER_MICRO));
    }

    @Override
    public void onUnavailable() {
      end();
      send(
          new RelayMessage.Unavailable(
              number, "the lending proxy does not reach the member", false));
    }

    @Override
    public void onConnectionLost(String reason) {
      end();
      send(new RelayMessage.Ended(number, reason));
    }

    /**
     * Handles a message about this loan. Messages for the member are dropped while no connection is
     * lent.
     */
    private void onMessage(RelayMessage.LoanMessage message) {
      switch (message) {
        case RelayMessage.SessionValues values -> onSessionValues(values.values());
        case RelayMessage.Release release -> onRelease(release.timedOut());
        case RelayMessage.Abort abort -> {
          end();
          lent.ifPresentOrElse(
              connection -> connection.abort(abort.reason()), () -> pool.cancel(this));
        }
        default -> lent.ifPresent(connection -> sendToMember(connection, message));
      }
    }

    /**
     * Takes the values of the borrowing session, or closes the link if there is no room for them.
     */
    private void onSessionValues(Map<String, String> values) {
      valueBytes -= state.bytes();
      state.replaceValues(values);
      valueBytes += state.bytes();
      if (!connection.chargeSessionState(valueBytes)) {
        close("no memory for the values of a session");
      }
    }

    /** Forgets this loan and what its session holds. */
    private void end() {
      if (loans.remove(number, this) && state.bytes() > 0) {
        valueBytes -= state.bytes();
        connection.chargeSessionState(valueBytes);
      }
    }

    /** Sends a request of the borrowing proxy to the member. */
    private void sendToMember(MemberConnection connection, RelayMessage.LoanMessage message) {
      sentAt = loop.now();
      switch (message) {
        case RelayMessage.Prepare prepare -> {
          connection.applySession(state);
          connection.prepare(prepare.shape());
        }
        case RelayMessage.Begin begin -> {
          if (isSurelyBehind(begin.required())) {
            return;
          }
          connection.applySession(state);
          boolean provesPrimary = !begin.readOnly() && begin.required().isEmpty();
          connection.begin(
              begin.readOnly(),
              begin.required(),
              provesPrimary ? this::relayPrimaryResponse : this::relayResponse);
        }
        case RelayMessage.Forward forward -> {
          if (isSurelyBehind(forward.required())) {
            return;
          }
          connection.applySession(state);
          connection.forward(forward.id(), forward.required(), forward.text(), this::relayResponse);
        }
        case RelayMessage.Execute execute -> {
          if (isSurelyBehind(execute.required())) {
            return;
          }
          connection.applySession(state);
          connection.execute(
              execute.id(),
              execute.required(),
              execute.shape(),
              execute.arguments(),
              this::relayResponse);
        }
        case RelayMessage.Command command ->
            connection.command(command.command(), this::relayResponse);
        case RelayMessage.Rollback ignored -> connection.rollback();
        default -> throw new IllegalStateException("not a message for the member");
      }
    }

    /**
     * Responds in place of the member if it recently lacked a position that a statement requires,
     * which spares it the refusal.
     *
     * @return {@code true} if the response was sent.
     */
    private boolean isSurelyBehind(Optional<LogPosition> required) {
      if (!database.readers().isEven()
          || required.filter(position -> !pool.traffic().mayHold(position)).isEmpty()) {
        return false;
      }
      relayResponse(
          new MemberResponse.Failed(
              FailureKind.BEHIND, "the member is behind", TransactionState.IDLE));
      return true;
    }

    /**
     * Relays the response to the begin of a transaction that may write. A success proves that the
     * member is the primary, and its log position is a floor for later reads.
     */
    private void relayPrimaryResponse(MemberResponse response) {
      if (response instanceof MemberResponse.Done done && done.position().isPresent()) {
        database.addFloor(pool, done.sentAt(), done.position().get());
        database.recordPrimary(pool.entry().id(), done.position().get().term(), "its response");
      }
      relayResponse(response);
    }

    /** Sends the response of the member to the borrowing proxy, unless the loan has ended. */
    private void relayResponse(MemberResponse response) {
      if (loans.get(number) != this) {
        return;
      }
      send(
          switch (response) {
            case MemberResponse.Done done ->
                new RelayMessage.Done(
                    number, done.rows(), done.proof(), done.state(), done.position());
            case MemberResponse.Failed failed ->
                new RelayMessage.Failed(number, failed.kind(), failed.text(), failed.state());
            case MemberResponse.Lost lost -> new RelayMessage.Lost(number, lost.reason());
          });
    }

    /**
     * Ends this loan on request of the borrowing proxy.
     *
     * @param timedOut True if a statement got no response in time.
     */
    private void onRelease(boolean timedOut) {
      end();
      returnConnection(timedOut);
    }

    /**
     * Returns the connection to its pool, or withdraws the request for one.
     *
     * @param timedOut True if a statement got no response in time.
     */
    private void returnConnection(boolean timedOut) {
      if (lent.isEmpty()) {
        pool.cancel(this);
        return;
      }
      if (timedOut) {
        lent.get().onStatementTimeout(sentAt);
      }
      lent.get().release();
    }
  }
}
