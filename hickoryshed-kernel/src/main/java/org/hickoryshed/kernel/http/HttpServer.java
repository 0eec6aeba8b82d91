package org.hickoryshed.kernel.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hickoryshed.kernel.service.Service;
import org.tinylog.Logger;

/** An HTTP server that runs each request on a virtual thread of its own. */
public final class HttpServer implements Service {

  /** The number of threads that move bytes. */
  private static final int IO_THREADS = 2;

  /** The size of an IO buffer in bytes. */
  private static final int BUFFER_SIZE = 8 * 1024;

  /** The executor of the requests. */
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /** The handler that counts requests in flight. */
  private final GracefulShutdownHandler inFlight;

  /** The server. */
  private final Undertow server;

  /** True while this server drains. */
  private volatile boolean draining;

  /**
   * Creates a new server.
   *
   * @param address The address to listen on.
   * @param handler The handler of the requests, which may block.
   */
  public HttpServer(InetSocketAddress address, HttpHandler handler) {
    inFlight = new GracefulShutdownHandler(exchange -> dispatch(exchange, handler));
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setBufferSize(BUFFER_SIZE)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setHandler(this::closeWhileDraining)
            .build();
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
        Exchanges.answer(
            exchange, Problem.unknown("internal-error", 500, "see the log of the process"));
      }
    }
  }

  @Override
  public void start() {
    server.start();
  }

  /** Ends each connection after its next answer. */
  public void startDraining() {
    draining = true;
  }

  /**
   * Refuses new requests and waits for those in flight.
   *
   * @param bound The longest time to wait.
   * @return {@code true} if no request was left in flight.
   */
  public boolean drain(Duration bound) {
    inFlight.shutdown();
    try {
      return inFlight.awaitShutdown(bound.toMillis());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void stop() {
    server.stop();
    executor.shutdownNow();
  }
}
