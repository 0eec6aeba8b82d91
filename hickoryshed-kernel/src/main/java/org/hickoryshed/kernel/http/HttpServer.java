package org.hickoryshed.kernel.http;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.GracefulShutdownHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.logging.Level;
import org.hickoryshed.kernel.process.Descriptors;
import org.hickoryshed.kernel.service.Service;
import org.tinylog.Logger;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * An HTTP server that runs each request on its own virtual thread, so that handlers may block.
 *
 * <p>{@link #drain} ends it gracefully, {@link #stop} at once.
 */
public final class HttpServer implements Service {

  /** The number of threads that read and write sockets. */
  private static final int IO_THREADS = 2;

  /** The largest number of connections that wait to be accepted. */
  private static final int BACKLOG = 1000;

  /** In bytes. */
  private static final int BUFFER_SIZE = 8 * 1024;

  /** The longest time for which idle connections stay open while this server drains. */
  private static final Duration IDLE_DRAIN_TIMEOUT = Duration.ofSeconds(3);

  /** The pause between two checks of the open connections while this server drains. */
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  /** The time within which a request has to arrive once its connection is open, in milliseconds. */
  private static final int REQUEST_TIMEOUT_MILLIS = 5_000;

  /** The time after which an unused connection, or one that is not read, is closed, in ms. */
  private static final int IDLE_TIMEOUT_MILLIS = 60_000;

  private static final long NANOS_IN_MILLI = 1_000_000;

  /**
   * The logger of XNIO. It is set to warnings, as processes log their starts themselves. The
   * reference is kept because the JDK drops the level of a logger that is garbage-collected.
   */
  private static final java.util.logging.Logger LIBRARY_LOG =
      java.util.logging.Logger.getLogger("org.xnio");

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /** Counts the requests in flight, so that a drain can wait for them. */
  private final GracefulShutdownHandler inFlight;

  private final InetSocketAddress address;

  private final HttpOpenListener connections;

  private final int maxConnections;

  /** The IO threads, empty before the start and after the stop. */
  private Optional<XnioWorker> worker = Optional.empty();

  /** The listening socket, empty before the start and once new connections are refused. */
  private Optional<AcceptingChannel<StreamConnection>> acceptor = Optional.empty();

  private volatile boolean draining;

  /**
   * Creates a server for probes and operators that does not yet listen; it closes unused
   * connections.
   *
   * @param address The address to listen on.
   * @param handler The handler of the requests, called on a virtual thread. An exception is logged
   *     and answered with the problem {@code internal-error}.
   */
  public HttpServer(InetSocketAddress address, HttpHandler handler) {
    this(
        address,
        handler,
        Descriptors.forOtherPort(),
        OptionMap.create(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS));
  }

  /**
   * Creates a server for callers that does not yet listen; unused connections stay open.
   *
   * @param address The address to listen on.
   * @param handler The handler of the requests, as for the other constructor.
   * @param maxConnections The largest number of connections; further ones are closed.
   */
  public HttpServer(InetSocketAddress address, HttpHandler handler, int maxConnections) {
    this(address, handler, maxConnections, OptionMap.EMPTY);
  }

  private HttpServer(
      InetSocketAddress address, HttpHandler handler, int maxConnections, OptionMap options) {
    this.address = address;
    this.maxConnections = maxConnections;
    inFlight = new GracefulShutdownHandler(exchange -> dispatch(exchange, handler));
    connections =
        new HttpOpenListener(
            new DefaultByteBufferPool(true, BUFFER_SIZE),
            OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, true)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_TIMEOUT_MILLIS)
                .addAll(options)
                .getMap());
    connections.setRootHandler(this::closeWhileDraining);
  }

  /**
   * Handles a request, and while this server drains closes its connection after the response, so
   * that the caller connects elsewhere.
   */
  private void closeWhileDraining(HttpServerExchange exchange) throws Exception {
    if (draining) {
      exchange.setPersistent(false);
    }
    inFlight.handleRequest(exchange);
  }

  private void dispatch(HttpServerExchange exchange, HttpHandler handler) {
    exchange.dispatch(executor, blocking -> handle(blocking, handler));
  }

  /** Runs the handler and responds with 500 if it throws an exception. */
  private static void handle(HttpServerExchange exchange, HttpHandler handler) {
    try {
      handler.handleRequest(exchange);
    } catch (Exception exception) {
      Logger.error(exception, "unexpected exception while handling {}", exchange.getRequestPath());
      if (!exchange.isResponseStarted()) {
        Exchanges.sendProblem(
            exchange, Problem.unknown("internal-error", 500, "see the log of the process"));
      }
    }
  }

  @Override
  public void start() {
    LIBRARY_LOG.setLevel(Level.WARNING);
    try {
      XnioWorker started =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, IO_THREADS)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.TCP_NODELAY, true)
                      .getMap());
      worker = Optional.of(started);
      AcceptingChannel<StreamConnection> opened =
          started.createStreamConnectionServer(
              address,
              ChannelListeners.openListenerAdapter(this::open),
              OptionMap.builder()
                  .set(Options.TCP_NODELAY, true)
                  .set(Options.REUSE_ADDRESSES, true)
                  .set(Options.BACKLOG, BACKLOG)
                  .getMap());
      acceptor = Optional.of(opened);
      opened.resumeAccepts();
    } catch (IOException exception) {
      throw new UncheckedIOException("can't listen on " + address, exception);
    }
  }

  /** Opens an accepted connection, or closes it if there are too many. */
  private void open(StreamConnection connection) {
    if (openConnections() >= maxConnections) {
      IoUtils.safeClose(connection);
    } else {
      connections.handleEvent(connection);
    }
  }

  /**
   * Refuses new connections, answers the requests that arrive on open connections and closes each
   * connection after its next response.
   *
   * <p>A request may already be on its way on a connection that this server closes, and its caller
   * would not know the outcome. Idle connections therefore stay open for up to three seconds, in
   * which callers can send a request and learn from the response that the connection closes.
   *
   * @param timeout The longest time to wait for requests in flight.
   * @return {@code true} if no request was left in flight, {@code false} after the timeout or an
   *     interrupt.
   */
  public boolean drain(Duration timeout) {
    draining = true;
    closeAcceptor();
    long deadline = System.nanoTime() + timeout.toNanos();
    long idleDeadline =
        System.nanoTime() + Math.min(timeout.toNanos(), IDLE_DRAIN_TIMEOUT.toNanos());
    try {
      while (openConnections() > 0 && System.nanoTime() - idleDeadline < 0) {
        Thread.sleep(DRAIN_POLL_INTERVAL);
      }
      inFlight.shutdown();
      return inFlight.awaitShutdown(Math.max(0, (deadline - System.nanoTime()) / NANOS_IN_MILLI));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Refuses new connections. The socket is closed once only: a second close would wait for an IO
   * thread that may have ended.
   */
  private synchronized void closeAcceptor() {
    Optional<AcceptingChannel<StreamConnection>> open = acceptor;
    acceptor = Optional.empty();
    open.ifPresent(IoUtils::safeClose);
  }

  /** Returns the number of open connections, idle ones included. */
  private long openConnections() {
    return connections.getConnectorStatistics().getActiveConnections();
  }

  @Override
  public synchronized void stop() {
    Optional<XnioWorker> running = worker;
    worker = Optional.empty();
    if (running.isPresent()) {
      closeAcceptor();
      connections.closeConnections();
      running.get().shutdownNow();
      executor.shutdownNow();
    }
  }
}
