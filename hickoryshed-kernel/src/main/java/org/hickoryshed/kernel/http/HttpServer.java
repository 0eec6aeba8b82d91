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

/** An HTTP server that runs each request on a virtual thread of its own. */
public final class HttpServer implements Service {

  /** The number of threads that move bytes. */
  private static final int IO_THREADS = 2;

  /** The number of connections that wait to be accepted at most. */
  private static final int BACKLOG = 1000;

  /** The size of an IO buffer in bytes. */
  private static final int BUFFER_SIZE = 8 * 1024;

  /** The longest time for which idle connections stay open while this server drains. */
  private static final Duration IDLE_BOUND = Duration.ofSeconds(3);

  /** The pause between two looks at the connections while this server drains. */
  private static final Duration POLL = Duration.ofMillis(20);

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /**
   * The log of the library, held so that its level stays; processes log their starts themselves.
   */
  private static final java.util.logging.Logger LIBRARY_LOG =
      java.util.logging.Logger.getLogger("org.xnio");

  /** The executor of the requests. */
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /** The handler that counts requests in flight. */
  private final GracefulShutdownHandler inFlight;

  /** The address to listen on. */
  private final InetSocketAddress address;

  /** Opens the connections. */
  private final HttpOpenListener connections;

  /** The threads that move bytes, empty before the start. */
  private Optional<XnioWorker> worker = Optional.empty();

  /** Accepts connections, empty before the start. */
  private Optional<AcceptingChannel<StreamConnection>> acceptor = Optional.empty();

  /** True while this server drains. */
  private volatile boolean draining;

  /**
   * Creates a new server.
   *
   * @param address The address to listen on.
   * @param handler The handler of the requests, which may block.
   */
  public HttpServer(InetSocketAddress address, HttpHandler handler) {
    this.address = address;
    inFlight = new GracefulShutdownHandler(exchange -> dispatch(exchange, handler));
    connections =
        new HttpOpenListener(
            new DefaultByteBufferPool(true, BUFFER_SIZE),
            OptionMap.create(
                UndertowOptions.BUFFER_PIPELINED_DATA,
                true,
                UndertowOptions.ENABLE_CONNECTOR_STATISTICS,
                true));
    connections.setRootHandler(this::closeWhileDraining);
  }

  /**
   * Lets callers connect elsewhere after their answer while this server drains.
   *
   * @param exchange The exchange.
   * @throws Exception If the handler fails.
   */
  private void closeWhileDraining(HttpServerExchange exchange) throws Exception {
    if (draining) {
      exchange.setPersistent(false);
    }
    inFlight.handleRequest(exchange);
  }

  /**
   * Dispatches a request to a virtual thread.
   *
   * @param exchange The exchange.
   * @param handler The handler of the request.
   */
  private void dispatch(HttpServerExchange exchange, HttpHandler handler) {
    exchange.dispatch(executor, blocking -> handle(blocking, handler));
  }

  /**
   * Handles a request so that a defect is answered as one.
   *
   * @param exchange The exchange.
   * @param handler The handler of the request.
   */
  private static void handle(HttpServerExchange exchange, HttpHandler handler) {
    try {
      handler.handleRequest(exchange);
    } catch (Exception exception) {
      Logger.error(exception, "defect in the handler of {}", exchange.getRequestPath());
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
              ChannelListeners.openListenerAdapter(connections),
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

  /**
   * Refuses new connections, answers what arrives on the open ones and ends each after its next
   * answer.
   *
   * <p>A connection that this server closes may meet a request on its way, whose outcome its caller
   * would not know. Idle connections are therefore closed only after callers had time to use them.
   *
   * @param bound The longest time to wait for requests in flight.
   * @return {@code true} if no request was left in flight.
   */
  public boolean drain(Duration bound) {
    draining = true;
    closeAcceptor();
    long end = System.nanoTime() + bound.toNanos();
    long idleEnd = System.nanoTime() + Math.min(bound.toNanos(), IDLE_BOUND.toNanos());
    try {
      while (openConnections() > 0 && System.nanoTime() - idleEnd < 0) {
        Thread.sleep(POLL);
      }
      inFlight.shutdown();
      return inFlight.awaitShutdown(Math.max(0, (end - System.nanoTime()) / NANOS_IN_MILLI));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Refuses new connections. A second close would wait for a thread that may have ended. */
  private synchronized void closeAcceptor() {
    Optional<AcceptingChannel<StreamConnection>> open = acceptor;
    acceptor = Optional.empty();
    open.ifPresent(IoUtils::safeClose);
  }

  /**
   * Counts the open connections, idle ones too.
   *
   * @return The number of connections.
   */
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
