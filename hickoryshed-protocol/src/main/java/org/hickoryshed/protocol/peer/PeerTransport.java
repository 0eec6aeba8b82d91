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

/** The connections of a process with its peers. */
public final class PeerTransport implements Service {

  /** The longest time to wait for a connection in milliseconds. */
  private static final int CONNECT_TIMEOUT = 300;

  /** The address that peers connect to. */
  private final InetSocketAddress address;

  /** The handler of the requests of peers. */
  private final UnaryOperator<Message> handler;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The metrics. */
  private final Metrics metrics;

  /** The connections that this process opened, by address. */
  private final Map<String, PeerConnection> opened = new ConcurrentHashMap<>();

  /** The connections that peers opened. */
  private final Set<PeerConnection> accepted = ConcurrentHashMap.newKeySet();

  /** The locks that let one thread open each connection, by address. */
  private final Map<String, Object> locks = new ConcurrentHashMap<>();

  /** The longest time to wait for the thread that accepts connections to end. */
  private static final Duration STOP_BOUND = Duration.ofSeconds(2);

  /** The thread that accepts connections. */
  private Thread acceptor;

  /** The socket that accepts connections. */
  private ServerSocket server;

  /**
   * Creates new peers.
   *
   * @param address The address that peers connect to.
   * @param handler The handler of the requests of peers, which may block.
   * @param recorder The event recorder.
   * @param metrics The metrics.
   */
  public PeerTransport(
      InetSocketAddress address,
      UnaryOperator<Message> handler,
      EventRecorder recorder,
      Metrics metrics) {
    this.address = address;
    this.handler = handler;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    try {
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(address);
    } catch (IOException exception) {
      throw new IllegalStateException("can't listen on " + address, exception);
    }
    acceptor = Thread.ofVirtual().name("peer-acceptor").start(this::accept);
  }

  @Override
  public void stop() {
    try {
      server.close();
    } catch (IOException exception) {
      Logger.warn(exception, "the peer socket did not close");
    }
    IOException cause = new IOException("the process is stopping");
    opened.values().forEach(connection -> connection.close(cause));
    accepted.forEach(connection -> connection.close(cause));
    awaitAcceptor();
  }

  /** Waits for the thread that accepts: the address is free only once it has left the socket. */
  private void awaitAcceptor() {
    try {
      if (!acceptor.join(STOP_BOUND)) {
        Logger.warn("the peer socket is still in use");
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends a request to a peer and waits for its reply.
   *
   * @param peer The address of the peer as IP number and port.
   * @param message The request.
   * @param timeout The longest time to wait for the reply.
   * @return The reply or the reason why there is none.
   */
  public Result<Message, PeerFailure> call(String peer, Message message, Duration timeout) {
    PeerConnection connection;
    try {
      connection = connection(peer);
    } catch (IOException exception) {
      metrics.counter("peer_connect_failures", "peer", peer).inc();
      return Result.failure(new PeerFailure.NotSent(exception.toString()));
    }
    return connection.call(message, timeout);
  }

  /**
   * Returns the connection to a peer and opens it if needed.
   *
   * @param peer The address of the peer.
   * @return The connection.
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
   * @param peer The address of the peer.
   * @return The connection.
   * @throws IOException If the peer can't be reached.
   */
  private PeerConnection open(String peer) throws IOException {
    int colon = peer.lastIndexOf(':');
    int port = Integer.parseInt(peer.substring(colon + 1));
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(peer.substring(0, colon), port), CONNECT_TIMEOUT);
    } catch (IOException exception) {
      socket.close();
      throw exception;
    }
    return startConnection(socket);
  }

  /** Accepts connections until the socket closes. */
  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        accepted.removeIf(connection -> !connection.isOpen());
        accepted.add(startConnection(socket));
      } catch (IOException exception) {
        metrics.counter("peer_accept_failures", "cause", "accept").inc();
      }
    }
  }

  /**
   * Starts a connection.
   *
   * @param socket The connected socket.
   * @return The connection.
   */
  private PeerConnection startConnection(Socket socket) {
    PeerConnection connection = new PeerConnection(socket, handler, recorder, metrics);
    connection.start();
    return connection;
  }
}
