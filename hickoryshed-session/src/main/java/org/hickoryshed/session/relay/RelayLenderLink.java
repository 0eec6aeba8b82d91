package org.hickoryshed.session.relay;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnection;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.MemberResponse;
import org.hickoryshed.session.member.SessionState;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;

/** The lending end of a link: what this proxy lends to one other proxy. */
final class RelayLenderLink implements Connection.Handler {

  /** The number of loans at a time at most. */
  private static final int LOANS = 1024;

  /** The loop that owns the link. */
  private final EventLoop loop;

  /** Finds a database by the name of its pool. */
  private final Function<String, Optional<Database>> databases;

  /** Answers questions about the directory. */
  private final Function<DirectoryRequest, DirectoryUpdate> directory;

  /** The loans by their numbers, those that wait for a connection too. */
  private final Map<Long, Loan> loans = new ConcurrentHashMap<>();

  /** Hears of the end of the link. */
  private final Consumer<RelayLenderLink> ended;

  /** The underlying connection. */
  private Connection connection;

  /**
   * Creates the lending end of a link.
   *
   * @param loop The loop that owns the link.
   * @param databases Finds a database by the name of its pool.
   * @param directory Answers questions about the directory.
   * @param ended Hears of the end of the link.
   */
  RelayLenderLink(
      EventLoop loop,
      Function<String, Optional<Database>> databases,
      Function<DirectoryRequest, DirectoryUpdate> directory,
      Consumer<RelayLenderLink> ended) {
    this.loop = loop;
    this.databases = databases;
    this.directory = directory;
    this.ended = ended;
  }

  /**
   * Takes the underlying connection.
   *
   * @param accepted The connection.
   */
  void attach(Connection accepted) {
    connection = accepted;
  }

  /**
   * Counts the connections that the other proxy uses, or waits for.
   *
   * @return The number of loans.
   */
  int loans() {
    return loans.size();
  }

  @Override
  public void onConnected() {
    // Links are opened by the borrowing proxy.
  }

  @Override
  public void onInput(ByteBuffer input) {
    try {
      for (Optional<RelayMessage> next = RelayCodec.next(input);
          next.isPresent() && !connection.isClosed();
          next = RelayCodec.next(input)) {
        onMessage(next.get());
      }
    } catch (RelayCodec.MalformedMessageException exception) {
      connection.close();
      onClosed("malformed: " + exception.getMessage());
    }
  }

  @Override
  public void onClosed(String reason) {
    List.copyOf(loans.values()).forEach(loan -> loan.end(false));
    loans.clear();
    ended.accept(this);
  }

  /**
   * Handles a message.
   *
   * @param message The message.
   */
  private void onMessage(RelayMessage message) {
    switch (message) {
      case RelayMessage.Borrow borrow -> lend(borrow);
      case RelayMessage.Ping ignored -> send(new RelayMessage.Pong());
      case RelayMessage.AskDirectory ask ->
          send(new RelayMessage.Directory(directory.apply(ask.question())));
      case RelayMessage.ToBorrower ignored -> {
        connection.close();
        onClosed("a message for a borrower");
      }
      case RelayMessage.OfLoan part ->
          // A loan that has ended is unknown here; the borrower was told.
          Optional.ofNullable(loans.get(part.loan())).ifPresent(loan -> loan.onMessage(part));
    }
  }

  /**
   * Lends a connection now or later, or refuses.
   *
   * @param borrow The request.
   */
  private void lend(RelayMessage.Borrow borrow) {
    Optional<Database> database = databases.apply(borrow.pool());
    Optional<MemberPool> pool = database.flatMap(known -> known.pool(borrow.member()));
    if (pool.isEmpty()) {
      send(new RelayMessage.Unavailable(borrow.loan(), "the member is not known"));
    } else if (!pool.get().isDirectlyReachable()) {
      send(new RelayMessage.Unavailable(borrow.loan(), "the member is not reachable"));
    } else if (loans.size() >= LOANS) {
      send(new RelayMessage.Unavailable(borrow.loan(), "too many loans"));
    } else {
      Loan loan = new Loan(borrow, database.get(), pool.get());
      loans.put(borrow.loan(), loan);
      pool.get().borrowDirectly(loan);
    }
  }

  /**
   * Sends a message.
   *
   * @param message The message.
   */
  private void send(RelayMessage.ToBorrower message) {
    if (!connection.isClosed()) {
      connection.output().append(RelayCodec.encode(message));
    }
  }

  /** A connection that is lent, or will be. */
  private final class Loan implements Borrower {

    /** The number of the loan. */
    private final long number;

    /** The priority. */
    private final int priority;

    /** The database of the member. */
    private final Database database;

    /** The pool of the member. */
    private final MemberPool pool;

    /** The values of the caller's session. */
    private final SessionState state = new SessionState();

    /** The connection. */
    private Optional<MemberConnection> lent = Optional.empty();

    /** The reading of the steady clock when the last statement was sent, in nanoseconds. */
    private long sentAt;

    /**
     * Creates a new loan.
     *
     * @param borrow The request.
     * @param database The database of the member.
     * @param pool The pool of the member.
     */
    private Loan(RelayMessage.Borrow borrow, Database database, MemberPool pool) {
      number = borrow.loan();
      priority = borrow.priority();
      this.database = database;
      this.pool = pool;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public SessionState session() {
      return state;
    }

    @Override
    public void onConnection(MemberConnection connection) {
      lent = Optional.of(connection);
      sentAt = loop.now();
      send(new RelayMessage.Lent(number));
    }

    @Override
    public void onUnavailable() {
      loans.remove(number);
      send(new RelayMessage.Unavailable(number, "the member is not reachable"));
    }

    @Override
    public void onConnectionLost(String reason) {
      loans.remove(number);
      send(new RelayMessage.Ended(number, reason));
    }

    /**
     * Handles a message about this loan.
     *
     * @param message The message.
     */
    private void onMessage(RelayMessage.OfLoan message) {
      switch (message) {
        case RelayMessage.Values values -> state.replaceValues(values.values());
        case RelayMessage.Release release -> finish(release.timedOut());
        case RelayMessage.Abort abort -> {
          loans.remove(number);
          lent.ifPresentOrElse(
              connection -> connection.abort(abort.reason()), () -> pool.cancel(this));
        }
        default -> lent.ifPresent(connection -> pass(connection, message));
      }
    }

    /**
     * Passes a message on to the member.
     *
     * @param connection The connection.
     * @param message The message.
     */
    private void pass(MemberConnection connection, RelayMessage.OfLoan message) {
      sentAt = loop.now();
      switch (message) {
        case RelayMessage.Prepare prepare -> {
          connection.applySession(state);
          connection.prepare(prepare.shape());
        }
        case RelayMessage.Begin begin -> {
          connection.applySession(state);
          boolean provesLead = !begin.readOnly() && begin.required().isEmpty();
          connection.begin(
              begin.readOnly(),
              begin.required(),
              provesLead ? this::answerOfPrimary : this::answer);
        }
        case RelayMessage.Forward forward -> {
          connection.applySession(state);
          connection.forward(forward.id(), forward.required(), forward.text(), this::answer);
        }
        case RelayMessage.Execute execute -> {
          connection.applySession(state);
          connection.execute(
              execute.id(), execute.required(), execute.shape(), execute.arguments(), this::answer);
        }
        case RelayMessage.AskStatus ignored -> connection.askStatus(this::answer);
        case RelayMessage.Rollback ignored -> connection.rollback();
        default -> throw new IllegalStateException("not a message for a member");
      }
    }

    /**
     * Sends the answer to the begin of a transaction that may write, which proves the lead.
     *
     * @param answer The answer.
     */
    private void answerOfPrimary(MemberResponse answer) {
      if (answer instanceof MemberResponse.Done done && done.position().isPresent()) {
        database.addFloor(done.asked(), done.position().get());
        database.notePrimary(pool.entry().id(), done.position().get().term(), "its answer");
      }
      answer(answer);
    }

    /**
     * Sends an answer.
     *
     * @param answer The answer.
     */
    private void answer(MemberResponse answer) {
      if (loans.get(number) != this) {
        return;
      }
      send(
          switch (answer) {
            case MemberResponse.Done done ->
                new RelayMessage.Done(
                    number, done.rows(), done.proof(), done.state(), done.position());
            case MemberResponse.Failed failed ->
                new RelayMessage.Failed(number, failed.kind(), failed.text(), failed.state());
            case MemberResponse.Lost lost -> new RelayMessage.Lost(number, lost.reason());
          });
    }

    /**
     * Ends this loan at the wish of the borrower.
     *
     * @param timedOut True if a statement was not answered in time.
     */
    private void finish(boolean timedOut) {
      loans.remove(number);
      end(timedOut);
    }

    /**
     * Gives the connection back, or the place in the queue.
     *
     * @param timedOut True if a statement was not answered in time.
     */
    private void end(boolean timedOut) {
      if (lent.isEmpty()) {
        pool.cancel(this);
        return;
      }
      if (timedOut) {
        lent.get().noteTimeout(sentAt);
      }
      lent.get().release();
    }
  }
}
