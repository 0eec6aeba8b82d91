package org.hickoryshed.session.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;

/** The link to a proxy that lends connections; it carries all loans from that proxy. */
final class RelayBorrowerLink implements Connection.Handler {

  /** The pause between two looks at a link that owes something, in milliseconds. */
  private static final long LOOK_MILLIS = 100;

  /** The silence after which the lending proxy is asked whether it answers, in milliseconds. */
  private static final long PING_MILLIS = 150;

  /** The silence after which the lending proxy is given up, in milliseconds. */
  private static final long SILENCE_MILLIS = 600;

  /** The highest number of bytes that wait to be sent. */
  private static final int OUTPUT_BYTES = 4 * 1024 * 1024;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The loop that owns the link. */
  private final EventLoop loop;

  /** What hears of the end of the link and of refused loans. */
  private final Listener listener;

  /** The requests for a connection, by the number of the loan. */
  private final Map<Long, Request> requests = new LinkedHashMap<>();

  /** The numbers of the loans that were asked for, by borrower. */
  private final Map<Borrower, Long> numbers = new HashMap<>();

  /** The connections that were lent, by the number of the loan. */
  private final Map<Long, RelayedConnection> loans = new HashMap<>();

  /** Receives the answer to the question about the directory that is open. */
  private Optional<Consumer<Optional<DirectoryUpdate>>> directoryReceiver = Optional.empty();

  /** The underlying connection. */
  private Connection connection;

  /** The number of the next loan. */
  private long nextLoan = 1;

  /** The reading of the steady clock when the link was last heard, in nanoseconds. */
  private long heard;

  /** True while the link is looked at, since something is owed. */
  private boolean watched;

  /**
   * Creates a link that is not yet open.
   *
   * @param loop The loop that owns the link.
   * @param listener What hears of the end of the link and of refused loans.
   */
  RelayBorrowerLink(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Opens the link.
   *
   * @param address The address of the lending proxy.
   * @throws IOException If no socket can be had or the address refuses at once.
   */
  void open(InetSocketAddress address) throws IOException {
    connection =
        loop.connect(
            address,
            this,
            new Connection.Limits(RelayCodec.HEADER_BYTES + RelayCodec.LONGEST, OUTPUT_BYTES));
    heard = loop.now();
  }

  /**
   * Asks for a connection.
   *
   * @param pool The pool of the member.
   * @param borrower The statement that needs a connection.
   */
  void borrow(MemberPool pool, Borrower borrower) {
    long loan = nextLoan++;
    requests.put(loan, new Request(pool, borrower));
    numbers.put(borrower, loan);
    pool.countRelayed(1);
    send(
        new RelayMessage.Borrow(loan, pool.entry().pool(), pool.entry().id(), borrower.priority()));
    watch();
  }

  /**
   * Asks for the directory.
   *
   * @param question The versions that are known here.
   * @param receiver Receives the answer, or an empty optional if the link ends before it.
   */
  void askDirectory(DirectoryRequest question, Consumer<Optional<DirectoryUpdate>> receiver) {
    directoryReceiver = Optional.of(receiver);
    send(new RelayMessage.AskDirectory(question));
    watch();
  }

  /**
   * Withdraws a request for a connection.
   *
   * @param borrower The statement that needed it.
   * @return {@code true} if there was such a request.
   */
  boolean cancel(Borrower borrower) {
    Long loan = numbers.get(borrower);
    if (loan == null) {
      return false;
    }
    take(loan).ifPresent(request -> request.pool.countRelayed(-1));
    send(new RelayMessage.Release(loan, false));
    return true;
  }

  /**
   * Ends a loan.
   *
   * @param loan The number of the loan.
   * @param message What the lending proxy is told.
   */
  void finish(long loan, RelayMessage.ToLender message) {
    RelayedConnection ended = loans.remove(loan);
    if (ended != null) {
      ended.pool().countRelayed(-1);
      send(message);
    }
  }

  /**
   * Sends a message.
   *
   * @param message The message.
   */
  void send(RelayMessage.ToLender message) {
    if (!connection.isClosed()) {
      connection.output().append(RelayCodec.encode(message));
    }
  }

  /** Looks at the link from time to time while something is owed. */
  void watch() {
    if (!watched) {
      watched = true;
      heard = loop.now();
      loop.schedule(LOOK_MILLIS, this::look);
    }
  }

  @Override
  public void onConnected() {
    heard = loop.now();
  }

  @Override
  public void onInput(ByteBuffer input) {
    heard = loop.now();
    try {
      for (Optional<RelayMessage> next = RelayCodec.next(input);
          next.isPresent() && !connection.isClosed();
          next = RelayCodec.next(input)) {
        onMessage(next.get());
      }
    } catch (RelayCodec.MalformedMessageException exception) {
      close("malformed: " + exception.getMessage());
    }
  }

  @Override
  public void onClosed(String reason) {
    listener.onLinkClosed(reason);
    List<Request> refused = new ArrayList<>(requests.values());
    requests.clear();
    numbers.clear();
    List<RelayedConnection> ended = new ArrayList<>(loans.values());
    loans.clear();
    refused.forEach(
        request -> {
          request.pool.countRelayed(-1);
          request.borrower.onUnavailable();
        });
    ended.forEach(
        loan -> {
          loan.pool().countRelayed(-1);
          loan.onEnded("the lending proxy is gone: " + reason);
        });
    onDirectory(Optional.empty());
  }

  /**
   * Hands the answer about the directory on.
   *
   * @param news The answer or an empty optional if there is none.
   */
  private void onDirectory(Optional<DirectoryUpdate> news) {
    Optional<Consumer<Optional<DirectoryUpdate>>> receiver = directoryReceiver;
    directoryReceiver = Optional.empty();
    receiver.ifPresent(waiting -> waiting.accept(news));
  }

  /**
   * Handles a message.
   *
   * @param message The message.
   */
  private void onMessage(RelayMessage message) {
    switch (message) {
      case RelayMessage.Lent lent ->
          take(lent.loan())
              .ifPresent(
                  request -> {
                    RelayedConnection lentConnection =
                        new RelayedConnection(loop, this, lent.loan(), request.pool);
                    loans.put(lent.loan(), lentConnection);
                    request.borrower.onConnection(lentConnection);
                  });
      case RelayMessage.Unavailable unavailable ->
          take(unavailable.loan())
              .ifPresent(
                  request -> {
                    request.pool.countRelayed(-1);
                    listener.onUnavailable(request.pool, unavailable.reason());
                    request.borrower.onUnavailable();
                  });
      case RelayMessage.Ended ended ->
          Optional.ofNullable(loans.remove(ended.loan()))
              .ifPresent(
                  loan -> {
                    loan.pool().countRelayed(-1);
                    loan.onEnded(ended.reason());
                  });
      case RelayMessage.Done done -> onAnswer(done.loan(), done);
      case RelayMessage.Failed failed -> onAnswer(failed.loan(), failed);
      case RelayMessage.Lost lost -> onAnswer(lost.loan(), lost);
      case RelayMessage.Directory directory -> onDirectory(Optional.of(directory.news()));
      case RelayMessage.Pong ignored -> {
        // The time at which the link was heard is noted for all input.
      }
      case RelayMessage.ToLender ignored -> close("a message for a lender");
    }
  }

  /**
   * Hands an answer to its connection; one that was given back meanwhile wants none.
   *
   * @param loan The number of the loan.
   * @param answer The answer.
   */
  private void onAnswer(long loan, RelayMessage.ToBorrower answer) {
    Optional.ofNullable(loans.get(loan)).ifPresent(lent -> lent.onAnswer(answer));
  }

  /**
   * Takes a request that was answered or withdrawn.
   *
   * @param loan The number of the loan.
   * @return The request or an empty optional if it was withdrawn before.
   */
  private Optional<Request> take(long loan) {
    Optional<Request> request = Optional.ofNullable(requests.remove(loan));
    request.ifPresent(known -> numbers.remove(known.borrower, loan));
    return request;
  }

  /** Asks a silent proxy whether it answers, and gives it up if it does not. */
  private void look() {
    watched = false;
    boolean owes =
        directoryReceiver.isPresent()
            || !requests.isEmpty()
            || loans.values().stream().anyMatch(RelayedConnection::isWaiting);
    if (connection.isClosed() || !owes) {
      return;
    }
    long silence = (loop.now() - heard) / NANOS_IN_MILLI;
    if (silence > SILENCE_MILLIS) {
      close("silent");
      return;
    }
    if (silence > PING_MILLIS) {
      send(new RelayMessage.Ping());
    }
    watched = true;
    loop.schedule(LOOK_MILLIS, this::look);
  }

  /**
   * Closes the link.
   *
   * @param reason Why it is closed.
   */
  private void close(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  /** Hears of the end of a link and of refused loans. */
  interface Listener {

    /**
     * Handles the end of the link.
     *
     * @param reason What happened.
     */
    void onLinkClosed(String reason);

    /**
     * Handles a refused loan.
     *
     * @param pool The pool of the member.
     * @param reason Why there is no connection.
     */
    void onUnavailable(MemberPool pool, String reason);
  }

  /**
   * A request for a connection.
   *
   * @param pool The pool of the member.
   * @param borrower The statement that needs a connection.
   */
  private record Request(MemberPool pool, Borrower borrower) {}
}
