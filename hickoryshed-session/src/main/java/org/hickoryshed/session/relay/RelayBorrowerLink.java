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
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;

/**
 * The borrowing end of a relay link: carries all loans from one lending proxy to this one, and the
 * directory requests to it.
 *
 * <p>While a response is expected, the link checks that the lending proxy is alive. All methods run
 * on the event loop.
 */
final class RelayBorrowerLink implements Connection.Handler {

  /** The interval of the liveness checks while a response is expected, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** The silence after which the lending proxy is pinged, in milliseconds. */
  private static final long PING_AFTER_MILLIS = 150;

  /** The silence after which the link is closed, in milliseconds. */
  private static final long CLOSE_AFTER_MILLIS = 600;

  /** The largest number of bytes that wait to be sent. */
  private static final int MAX_OUTPUT_BYTES = 4 * 1024 * 1024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;

  private final Listener listener;

  /** The requests for a connection that have no response yet, by the number of the loan. */
  private final Map<Long, Request> requests = new LinkedHashMap<>();

  /** The numbers of the loans in {@link #requests}, by borrower. */
  private final Map<Borrower, Long> loanNumbers = new HashMap<>();

  /** The current loans by their numbers. */
  private final Map<Long, RelayedConnection> loans = new HashMap<>();

  /** Receives the response to the current directory request; empty if there is none. */
  private Optional<Consumer<Optional<DirectoryUpdate>>> directoryReceiver = Optional.empty();

  private Connection connection;

  private long nextLoan = 1;

  /**
   * The monotonic clock reading in nanoseconds when data last arrived, or when the checks began.
   */
  private long lastReceivedAt;

  /** True while a liveness check is scheduled. */
  private boolean checking;

  /**
   * Creates a link that is not yet open.
   *
   * @param loop The event loop that owns the link.
   * @param listener Notified of the end of the link and of refused loans.
   */
  RelayBorrowerLink(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Starts to connect; messages may be sent at once.
   *
   * @param address The address of the lending proxy.
   * @throws IOException If no socket is available or the address refuses at once.
   */
  void open(InetSocketAddress address) throws IOException {
    connection =
        loop.connect(
            address,
            this,
            new Connection.Limits(
                RelayCodec.HEADER_BYTES + RelayCodec.MAX_MESSAGE_BYTES, MAX_OUTPUT_BYTES));
    lastReceivedAt = loop.now();
  }

  /**
   * Requests a connection.
   *
   * @param pool The pool of the member.
   * @param borrower Receives the connection, or is told that there is none.
   */
  void borrow(MemberConnectionPool pool, Borrower borrower) {
    long loan = nextLoan++;
    requests.put(loan, new Request(pool, borrower));
    loanNumbers.put(borrower, loan);
    pool.countRelayed(1);
    send(
        new RelayMessage.Borrow(
            loan,
            pool.entry().pool(),
            pool.entry().id(),
            borrower.priority(),
            borrower.mayBeDeclined(),
            borrower.workspace()));
    startChecks();
  }

  /**
   * Requests the directory; a second request must not be made before the first has ended.
   *
   * @param request The versions that are known here.
   * @param receiver Receives the response, or an empty optional if the link ends before it.
   */
  void requestDirectory(DirectoryRequest request, Consumer<Optional<DirectoryUpdate>> receiver) {
    directoryReceiver = Optional.of(receiver);
    send(new RelayMessage.AskDirectory(request));
    startChecks();
  }

  /**
   * Withdraws a request for a connection.
   *
   * @return {@code true} if the borrower waited for a connection of this link.
   */
  boolean cancel(Borrower borrower) {
    Long loan = loanNumbers.get(borrower);
    if (loan == null) {
      return false;
    }
    removeRequest(loan).ifPresent(request -> request.pool.countRelayed(-1));
    send(new RelayMessage.Release(loan, false));
    return true;
  }

  /**
   * Ends a loan; does nothing if it has ended before.
   *
   * @param message The message that tells the lending proxy.
   */
  void endLoan(long loan, RelayMessage.ToLender message) {
    RelayedConnection ended = loans.remove(loan);
    if (ended != null) {
      ended.pool().countRelayed(-1);
      send(message);
    }
  }

  void send(RelayMessage.ToLender message) {
    if (!connection.isClosed()) {
      connection.output().append(RelayCodec.encode(message));
    }
  }

  /** Checks periodically that the lending proxy is alive, until no response is expected. */
  void startChecks() {
    if (!checking) {
      checking = true;
      lastReceivedAt = loop.now();
      loop.schedule(CHECK_INTERVAL_MILLIS, this::checkLiveness);
    }
  }

  @Override
  public void onConnected() {
    lastReceivedAt = loop.now();
  }

  @Override
  public void onInput(ByteBuffer input) {
    lastReceivedAt = loop.now();
    try {
      for (Optional<RelayMessage> next = RelayCodec.decodeNext(input);
          next.isPresent() && !connection.isClosed();
          next = RelayCodec.decodeNext(input)) {
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
    loanNumbers.clear();
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
          loan.onEnded("the link to the lending proxy ended: " + reason);
        });
    completeDirectoryRequest(Optional.empty());
  }

  /** Passes the directory, or an empty optional, to the receiver of the current request. */
  private void completeDirectoryRequest(Optional<DirectoryUpdate> update) {
    Optional<Consumer<Optional<DirectoryUpdate>>> receiver = directoryReceiver;
    directoryReceiver = Optional.empty();
    receiver.ifPresent(waiting -> waiting.accept(update));
  }

  private void onMessage(RelayMessage message) {
    switch (message) {
      case RelayMessage.Lent lent ->
          removeRequest(lent.loan())
              .ifPresent(
                  request -> {
                    RelayedConnection lentConnection =
                        new RelayedConnection(loop, this, lent.loan(), request.pool);
                    loans.put(lent.loan(), lentConnection);
                    request.pool.traffic().onReport(lent.inFlight(), lent.responseMicros() * 1000);
                    request.borrower.onConnection(lentConnection);
                  });
      case RelayMessage.Unavailable unavailable ->
          removeRequest(unavailable.loan())
              .ifPresent(
                  request -> {
                    request.pool.countRelayed(-1);
                    if (unavailable.declined()) {
                      request.pool.traffic().markFull();
                      request.borrower.onDeclined();
                    } else {
                      listener.onUnavailable(request.pool, unavailable.reason());
                      request.borrower.onUnavailable();
                    }
                  });
      case RelayMessage.Ended ended ->
          Optional.ofNullable(loans.remove(ended.loan()))
              .ifPresent(
                  loan -> {
                    loan.pool().countRelayed(-1);
                    loan.onEnded(ended.reason());
                  });
      case RelayMessage.Done done -> onResponse(done.loan(), done);
      case RelayMessage.Failed failed -> onResponse(failed.loan(), failed);
      case RelayMessage.Lost lost -> onResponse(lost.loan(), lost);
      case RelayMessage.Directory directory ->
          completeDirectoryRequest(Optional.of(directory.update()));
      case RelayMessage.Pong ignored -> {
        // Any input counts as a sign of life; see onInput.
      }
      case RelayMessage.ToLender ignored -> close("received a message meant for a lending proxy");
    }
  }

  /**
   * Passes a response to its connection. A response for a loan that was returned meanwhile is
   * dropped.
   */
  private void onResponse(long loan, RelayMessage.ToBorrower response) {
    Optional.ofNullable(loans.get(loan)).ifPresent(lent -> lent.onResponse(response));
  }

  /**
   * Removes a request that got a response or was withdrawn.
   *
   * @return The request or an empty optional if it was removed before.
   */
  private Optional<Request> removeRequest(long loan) {
    Optional<Request> request = Optional.ofNullable(requests.remove(loan));
    request.ifPresent(known -> loanNumbers.remove(known.borrower, loan));
    return request;
  }

  /** Pings a silent lending proxy, and closes the link after a longer silence. */
  private void checkLiveness() {
    checking = false;
    boolean responseExpected =
        directoryReceiver.isPresent()
            || !requests.isEmpty()
            || loans.values().stream().anyMatch(RelayedConnection::isWaiting);
    if (connection.isClosed() || !responseExpected) {
      return;
    }
    long silence = (loop.now() - lastReceivedAt) / NANOS_PER_MILLI;
    if (silence > CLOSE_AFTER_MILLIS) {
      close("no data received in time");
      return;
    }
    if (silence > PING_AFTER_MILLIS) {
      send(new RelayMessage.Ping());
    }
    checking = true;
    loop.schedule(CHECK_INTERVAL_MILLIS, this::checkLiveness);
  }

  private void close(String reason) {
    if (!connection.isClosed()) {
      connection.close();
      onClosed(reason);
    }
  }

  /** Notified of the end of a link and of refused loans. */
  interface Listener {

    /**
     * Handles the end of the link, before the borrowers are told.
     *
     * @param reason Why it ended.
     */
    void onLinkClosed(String reason);

    /**
     * Handles a refused loan, before the borrower is told.
     *
     * @param pool The pool of the member.
     * @param reason Why the lending proxy refused.
     */
    void onUnavailable(MemberConnectionPool pool, String reason);
  }

  /**
   * A request for a connection.
   *
   * @param pool The pool of the member.
   * @param borrower The statement that needs the connection.
   */
  private record Request(MemberConnectionPool pool, Borrower borrower) {}
}
