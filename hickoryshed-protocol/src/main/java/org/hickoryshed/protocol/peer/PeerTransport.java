package org.hickoryshed.protocol.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.protocol.message.Message;
import org.tinylog.Logger;

/**
 * Sends requests to peers, that is to other processes of this system, and serves theirs.
 *
 * <p>One connection is opened for each peer address on the first request and shared by all threads;
 * a closed one is replaced by the next request. All methods may be called by any thread.
 */
public final class PeerTransport implements Service {

  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** The address on which this process accepts connections. */
  private final InetSocketAddress address;

  private final UnaryOperator<Message> requestHandler;
  private final EventRecorder recorder;
  private final Metrics metrics;

  /** The connections that this process opened, by peer address. */
  private final Map<String, PeerConnection> opened = new ConcurrentHashMap<>();

  /** The connections that peers opened. */
  private final Set<PeerConnection> accepted = ConcurrentHashMap.newKeySet();

  /** The locks that let one thread at a time open a connection, by peer address. */
  private final Map<String, Object> locks = new ConcurrentHashMap<>();

  /** The longest time for which {@link #stop()} waits for the accepting thread to end. */
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

  private Thread acceptor;
  private ServerSocket serverSocket;

  /**
   * Creates a transport, which accepts connections once it is started.
   *
   * @param address The address on which to accept connections.
   * @param requestHandler Returns the response to a request of a peer. Called by one virtual thread
   *     for each request, and may block. If it throws, the connection is closed.
   * @param recorder Carries the hybrid logical clock, which each frame advances.
   * @param metrics Counts failures.
   */
  public PeerTransport(
      InetSocketAddress address,
      UnaryOperator<Message> requestHandler,
      EventRecorder recorder,
      Metrics metrics) {
    this.address = address;
    this.requestHandler = requestHandler;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    try {
      serverSocket = new ServerSocket();
      serverSocket.setReuseAddress(true);
      serverSocket.bind(address);
    } catch (IOException exception) {
      throw new IllegalStateException("can't listen on " + address, exception);
    }
    acceptor = Thread.ofVirtual().name("peer-acceptor").start(this::accept);
  }

  @Override
  public void stop() {
    try {
      serverSocket.close();
    } catch (IOException exception) {
      Logger.warn(exception, "failed to close the server socket for peers");
    }
    IOException cause = new IOException("the process is stopping");
    opened.values().forEach(connection -> connection.close(cause));
    accepted.forEach(connection -> connection.close(cause));
    awaitAcceptor();
  }

  /**
   * Waits for the accepting thread, because the address is free only once that thread has left the
   * socket.
   */
  private void awaitAcceptor() {
    try {
      if (!acceptor.join(STOP_TIMEOUT)) {
        Logger.warn("the thread that accepts peers did not end; its address may still be in use");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends a request to a peer and blocks until its response arrives.
   *
   * @param peer The IP address and port of the peer, separated by a colon.
   * @param timeout The longest time to wait for the response, not including the time to connect.
   * @return The response or the reason why there is none.
   */
  public Result<Message, PeerFailure> call(String peer, Message request, Duration timeout) {
    PeerConnection connection;
    try {
      connection = connection(peer);
    } catch (IOException exception) {
      metrics.counter("peer_connect_failures", "peer", peer).inc();
      return Result.failure(new PeerFailure.NotSent(exception.toString()));
    }
    return connection.call(request, timeout);
  }

  /**
   * Returns the connection to a peer and opens it if there is none or it is closed.
   *
   * @throws IOException If the peer can't be reached.
   */
  private PeerConnection connection(String peer) throws IOException {
    PeerConnection known = opened.get(peer);
    if (known != null && known.isOpen()) {
      return known;
    }
    synchronized (locks.computeIfAbsent(peer, key -> new Object())) {
      known = opened.get(peer);
      if (known != null && known.isOpen()) {
        return known;
      }
      PeerConnection connection = open(peer);
      opened.put(peer, connection);
      return connection;
    }
  }

  /**
   * Opens a connection to a peer.
   *
   * @throws IOException If the peer can't be reached.
   */
  private PeerConnection open(String peer) throws IOException {
    int colon = peer.lastIndexOf(':');
    int port = Integer.parseInt(peer.substring(colon + 1));
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(peer.substring(0, colon), port), CONNECT_TIMEOUT_MILLIS);
    } catch (IOException exception) {
      socket.close();
      throw exception;
    }
    return startConnection(socket);
  }

  /** Accepts connections until the socket closes. */
  private void accept() {
    while (!serverSocket.isClosed()) {
      try {
        Socket socket = serverSocket.accept();
        socket.setTcpNoDelay(true);
        accepted.removeIf(connection -> !connection.isOpen());
        accepted.add(startConnection(socket));
      } catch (IOException exception) {
        metrics.counter("peer_accept_failures", "cause", "accept").inc();
      }
    }
  }

  /** Starts the threads of a connection. */
  private PeerConnection startConnection(Socket socket) {
    PeerConnection connection = new PeerConnection(socket, requestHandler, recorder, metrics);
    connection.start();
    return connection;
  }
}
