package org.hickoryshed.session.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.kernel.service.Service;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * A thread that carries the data duty: it owns all connections, timers and the state behind them.
 *
 * <p>Other threads reach that state only by submitting tasks to a bounded ring.
 */
public final class EventLoop implements Service {

  /** The number of tasks that wait at most. */
  private static final int TASKS = 4096;

  /** The number of connections that wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 1024;

  /** The time in which the thread ends after it was stopped, in milliseconds. */
  private static final long STOP_MILLIS = 2000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The selector of all channels. */
  private final Selector selector;

  /** The tasks of other threads. */
  private final MpscAtomicArrayQueue<Runnable> tasks = new MpscAtomicArrayQueue<>(TASKS);

  /** The timers, the next one first. */
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(timer -> timer.due));

  /** The connections with output that is not yet handed to the operating system. */
  private final Deque<Connection> unflushed = new ArrayDeque<>();

  /** The thread that carries this duty. */
  private final Thread thread;

  /** True while this loop is to continue. */
  private volatile boolean active = true;

  /** The reading of the steady clock in this round, in nanoseconds. */
  private long now = System.nanoTime();

  /** Creates a new event loop. */
  public EventLoop() {
    try {
      selector = Selector.open();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    thread = Thread.ofPlatform().name("data").unstarted(this::run);
  }

  /**
   * Returns the reading of the steady clock in this round.
   *
   * @return The reading in nanoseconds.
   */
  public long now() {
    return now;
  }

  /**
   * Returns the present moment on both clocks.
   *
   * @return The present moment.
   */
  public ClockReading readClocks() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Submits a task from any thread.
   *
   * @param task The task.
   * @return {@code true} if the task was taken, {@code false} if too many are waiting.
   */
  public boolean submit(Runnable task) {
    boolean taken = tasks.offer(task);
    selector.wakeup();
    return taken;
  }

  /**
   * Schedules an action.
   *
   * @param delayMillis The delay in milliseconds.
   * @param action The action.
   * @return A timer that can be cancelled.
   */
  public Timer schedule(long delayMillis, Runnable action) {
    Timer timer = new Timer(System.nanoTime() + delayMillis * NANOS_IN_MILLI, action);
    timers.add(timer);
    return timer;
  }

  /**
   * Listens for connections.
   *
   * @param address The address to listen on.
   * @param acceptor The receiver of each connection.
   */
  public void listen(InetSocketAddress address, Consumer<SocketChannel> acceptor) {
    try {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.configureBlocking(false);
      server.bind(address, ACCEPT_BACKLOG);
      server.register(selector, SelectionKey.OP_ACCEPT, new Listener(server, acceptor));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /**
   * Opens a connection to an address.
   *
   * @param address The address.
   * @param handler The handler of the connection.
   * @param limits The limits of its buffers.
   * @return The connection, which may still fail.
   * @throws IOException If no socket can be had or the address refuses at once.
   */
  public Connection connect(
      InetSocketAddress address, Connection.Handler handler, Connection.Limits limits)
      throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean connected = channel.connect(address);
      Connection connection = new Connection(this, channel, handler, limits);
      connection.register(selector, connected);
      return connection;
    } catch (IOException exception) {
      channel.close();
      throw exception;
    }
  }

  /**
   * Takes an accepted connection.
   *
   * @param channel The channel.
   * @param handler The handler of the connection.
   * @param limits The limits of its buffers.
   * @return The connection.
   * @throws IOException If the channel is closed already.
   */
  public Connection registerAccepted(
      SocketChannel channel, Connection.Handler handler, Connection.Limits limits)
      throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Connection connection = new Connection(this, channel, handler, limits);
    connection.register(selector, true);
    return connection;
  }

  /**
   * Opens a socket for datagrams.
   *
   * @param address The address to listen on.
   * @param receiver The receiver of the datagrams.
   * @return The socket.
   * @throws IOException If the address can't be listened on.
   */
  public UdpSocket openUdpSocket(
      InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> receiver)
      throws IOException {
    DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
    channel.configureBlocking(false);
    channel.bind(address);
    UdpSocket datagrams = new UdpSocket(channel, receiver);
    channel.register(selector, SelectionKey.OP_READ, datagrams);
    return datagrams;
  }

  /**
   * Notes that a connection has output to flush at the end of this round.
   *
   * @param connection The connection.
   */
  void flushLater(Connection connection) {
    unflushed.add(connection);
  }

  @Override
  public void start() {
    thread.start();
  }

  /** Ends this loop and closes its sockets; their addresses are free when this returns. */
  @Override
  public void stop() {
    active = false;
    selector.wakeup();
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      if (thread.getState() == Thread.State.NEW) {
        close();
      } else {
        thread.join(STOP_MILLIS);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs rounds until this loop is stopped. */
  private void run() {
    while (active) {
      try {
        select();
        now = System.nanoTime();
        runTasks();
        fireTimers();
        flush();
      } catch (IOException exception) {
        Logger.error(exception, "the selector failed");
      }
    }
    close();
  }

  /** Closes all channels, then the selector, which lets go of their sockets. */
  private void close() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException exception) {
      Logger.warn("a socket was not closed: {}", exception.getMessage());
    }
  }

  /**
   * Waits for events and handles them.
   *
   * @throws IOException If the selector fails.
   */
  private void select() throws IOException {
    Timer next = timers.peek();
    if (next == null) {
      selector.select(this::onReady);
      return;
    }
    long wait = (next.due - System.nanoTime() + NANOS_IN_MILLI - 1) / NANOS_IN_MILLI;
    if (wait <= 0 || !tasks.isEmpty()) {
      selector.selectNow(this::onReady);
    } else {
      selector.select(this::onReady, wait);
    }
  }

  /**
   * Handles an event of a channel.
   *
   * @param key The key of the channel.
   */
  private void onReady(SelectionKey key) {
    now = System.nanoTime();
    guard(
        () -> {
          switch (key.attachment()) {
            case Connection connection -> connection.onReady();
            case Listener listener -> listener.accept();
            case UdpSocket datagrams -> datagrams.onReady();
            default -> throw new IllegalStateException("unknown attachment of a key");
          }
        });
  }

  /** Runs the tasks of other threads. */
  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      guard(task);
    }
  }

  /** Fires the timers that are due. */
  private void fireTimers() {
    for (Timer next = timers.peek(); next != null && next.due - now <= 0; next = timers.peek()) {
      Timer due = timers.poll();
      if (!due.cancelled) {
        guard(due.action);
      }
    }
  }

  /** Hands the output of this round to the operating system. */
  private void flush() {
    for (Connection next = unflushed.poll(); next != null; next = unflushed.poll()) {
      Connection connection = next;
      guard(connection::flush);
    }
  }

  /**
   * Runs a step so that a defect in it does not end the thread.
   *
   * @param step The step.
   */
  private static void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException exception) {
      Logger.error(exception, "the data duty met a defect");
    }
  }

  /** An action that is run later. */
  public static final class Timer {

    /** The reading of the steady clock at which this timer is due, in nanoseconds. */
    private final long due;

    /** The action. */
    private final Runnable action;

    /** True if the action is no longer to be run. */
    private boolean cancelled;

    /**
     * Creates a new timer.
     *
     * @param due The reading of the steady clock at which this timer is due.
     * @param action The action.
     */
    private Timer(long due, Runnable action) {
      this.due = due;
      this.action = action;
    }

    /** Cancels this timer. */
    public void cancel() {
      cancelled = true;
    }
  }

  /**
   * A listening channel.
   *
   * @param channel The channel.
   * @param acceptor The receiver of each connection.
   */
  private record Listener(ServerSocketChannel channel, Consumer<SocketChannel> acceptor) {

    /** Accepts all waiting connections. */
    private void accept() {
      try {
        for (SocketChannel next = channel.accept(); next != null; next = channel.accept()) {
          acceptor.accept(next);
        }
      } catch (IOException exception) {
        Logger.warn("a connection could not be accepted: {}", exception.getMessage());
      }
    }
  }
}
