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
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.memory.MemoryBudget;
import org.hickoryshed.decision.memory.MemoryUsage;
import org.hickoryshed.kernel.process.ProcessEnd;
import org.hickoryshed.kernel.service.Service;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * The single-threaded event loop that carries all traffic of callers and members.
 *
 * <p>Its thread owns all connections, timers and the state behind them. Other threads reach that
 * state only by submitting tasks to a bounded queue. Each iteration waits for I/O events, handles
 * them, runs submitted tasks and due timers, and then writes the output that all of these produced.
 */
public final class EventLoop implements Service {

  /** The maximum number of submitted tasks that wait. */
  private static final int TASK_QUEUE_CAPACITY = 4096;

  private static final int ACCEPT_BACKLOG = 1024;

  /** How long {@link #stop} waits for the thread to end. */
  private static final long STOP_TIMEOUT_MILLIS = 2000;

  private static final long MEMORY_CHECK_MILLIS = 250;

  /** Timers with a longer delay never run; the limit keeps their due times from overflowing. */
  private static final long MAX_DELAY_MILLIS = Duration.ofDays(365).toMillis();

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Shorter delays of the loop are its ordinary work. */
  private static final long MIN_STALL_NANOS = 20 * NANOS_PER_MILLI;

  private final Selector selector;

  /** Submitted by any thread, run by the thread of the loop. */
  private final MpscAtomicArrayQueue<Runnable> tasks =
      new MpscAtomicArrayQueue<>(TASK_QUEUE_CAPACITY);

  private final TimerWheel timers = new TimerWheel(System.nanoTime());

  private final Runnable onBroken;

  private final ConnectionMemory memory;

  /** The connections to flush at the end of this iteration. */
  private final Deque<Connection> unflushed = new ArrayDeque<>();

  private final Thread thread;
  private volatile boolean active = true;
  private long now = System.nanoTime();

  /** When the first I/O event of this iteration was handled, empty if there was none. */
  private OptionalLong busySince = OptionalLong.empty();

  /** The total time for which the loop was late or busy without looking for I/O events. */
  private long stalledNanos;

  /** Creates an event loop with a memory budget that is computed from the heap. */
  public EventLoop() {
    this(ConnectionMemory.budgetFor(Runtime.getRuntime().maxMemory()), ProcessEnd::halt);
  }

  /**
   * Creates an event loop; its thread runs from {@link #start} on.
   *
   * @param budget The memory that all connections together may hold.
   * @param onBroken Runs if an error ends the loop, which then serves nothing any more.
   */
  EventLoop(MemoryBudget budget, Runnable onBroken) {
    this.onBroken = onBroken;
    memory = new ConnectionMemory(budget);
    try {
      selector = Selector.open();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    thread = Thread.ofPlatform().name("data").unstarted(this::runOrReport);
  }

  /**
   * Returns the monotonic clock as of the current event or iteration.
   *
   * @return The time in nanoseconds, on the scale of {@link System#nanoTime}.
   */
  public long now() {
    return now;
  }

  /** Reads the monotonic clock and the wall clock now; may be called by any thread. */
  public ClockReading readClocks() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Submits a task to run on the thread of the loop; may be called by any thread.
   *
   * @return {@code false} if the queue is full and the task will not run.
   */
  public boolean submit(Runnable task) {
    boolean accepted = tasks.offer(task);
    selector.wakeup();
    return accepted;
  }

  /**
   * Schedules an action to run once on the thread of the loop.
   *
   * @return A timer that can be cancelled.
   */
  public Timer schedule(long delayMillis, Runnable action) {
    long delayNanos = Math.min(delayMillis, MAX_DELAY_MILLIS) * NANOS_PER_MILLI;
    Timer timer = new Timer(timers, System.nanoTime() + delayNanos, action);
    timers.add(timer, timer.due);
    return timer;
  }

  /**
   * Schedules an action to run on the thread of the loop if another process has not answered in
   * time. Time in which this process itself was stalled does not count, since the answer may be
   * there but could not be handled; it prolongs the delay, at most by as much again.
   *
   * @return A timer that can be cancelled.
   */
  public Timer scheduleTimeout(long delayMillis, Runnable action) {
    Timer timer = schedule(delayMillis, action);
    timer.stallsBefore = stalledNanos;
    timer.prolongation = Math.min(delayMillis, MAX_DELAY_MILLIS) * NANOS_PER_MILLI;
    return timer;
  }

  /**
   * Runs an action periodically on the thread of the loop for as long as the loop runs, also after
   * it threw an exception.
   *
   * @param intervalMillis The time before the first run, and between the end of a run and the next
   *     one.
   */
  public void scheduleEvery(long intervalMillis, Runnable action) {
    schedule(
        intervalMillis,
        () -> {
          try {
            action.run();
          } finally {
            scheduleEvery(intervalMillis, action);
          }
        });
  }

  /**
   * Listens for TCP connections.
   *
   * @param acceptor Receives each accepted channel, which it has to register or close.
   * @throws UncheckedIOException If the address can't be bound.
   */
  public void listen(InetSocketAddress address, Consumer<SocketChannel> acceptor) {
    try {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.configureBlocking(false);
      server.bind(address, ACCEPT_BACKLOG);
      TcpListener listener = new TcpListener(this, server, acceptor);
      listener.attach(server.register(selector, SelectionKey.OP_ACCEPT, listener));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /**
   * Starts to open a TCP connection.
   *
   * @return The connection, to which output may be appended at once; the handler is told whether it
   *     is established or fails.
   * @throws IOException If no socket can be opened or connecting fails at once.
   */
  public Connection connect(
      InetSocketAddress address, Connection.Handler handler, Connection.Limits limits)
      throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean connected = channel.connect(address);
      Connection connection = new Connection(this, channel, handler, limits, false);
      connection.register(selector, connected);
      return connection;
    } catch (IOException | RuntimeException exception) {
      channel.close();
      throw exception;
    }
  }

  /**
   * Registers a channel that {@link #listen} accepted.
   *
   * @throws IOException If the channel is closed already.
   */
  public Connection registerAccepted(
      SocketChannel channel, Connection.Handler handler, Connection.Limits limits)
      throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Connection connection = new Connection(this, channel, handler, limits, true);
    connection.register(selector, true);
    return connection;
  }

  /**
   * Opens an IPv4 UDP socket.
   *
   * @param receiver Receives the source address and the content of each datagram.
   * @throws IOException If the address can't be bound.
   */
  public UdpSocket openUdpSocket(
      InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> receiver)
      throws IOException {
    DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
    channel.configureBlocking(false);
    channel.bind(address);
    UdpSocket socket = new UdpSocket(channel, receiver);
    channel.register(selector, SelectionKey.OP_READ, socket);
    return socket;
  }

  /** Returns the memory that all connections together hold; may be called by any thread. */
  public MemoryUsage memoryUsage() {
    return memory.usage();
  }

  /** Returns what applies the memory budget to the connections. */
  ConnectionMemory memory() {
    return memory;
  }

  /** Flushes a connection at the end of this iteration; call it once per flush. */
  void flushLater(Connection connection) {
    unflushed.add(connection);
  }

  @Override
  public void start() {
    scheduleEvery(MEMORY_CHECK_MILLIS, memory::check);
    thread.start();
  }

  /**
   * Ends this loop and closes its sockets; may be called by any thread.
   *
   * <p>Unless called on the thread of the loop, it waits for that thread to end, up to a timeout,
   * so that the addresses can be bound again when it returns.
   */
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
        thread.join(STOP_TIMEOUT_MILLIS);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reports an error that ends the loop. */
  private void runOrReport() {
    try {
      run();
    } catch (Throwable thrown) {
      onBroken.run();
    }
  }

  private void run() {
    while (active) {
      try {
        busySince = OptionalLong.empty();
        select();
        now = System.nanoTime();
        long start = busySince.orElse(now);
        runTasks();
        runDueTimers();
        flush();
        guard(memory::resumeWaiting);
        addStall(System.nanoTime() - start);
      } catch (IOException exception) {
        Logger.error(exception, "the selector failed");
      }
    }
    close();
  }

  /** Closes all channels, then the selector, because only that releases the sockets. */
  private void close() {
    try {
      for (SelectionKey key : selector.keys()) {
        key.channel().close();
      }
      selector.close();
    } catch (IOException exception) {
      Logger.warn("closing a socket failed: {}", exception.getMessage());
    }
  }

  /**
   * Waits for I/O events until the next timer is due, and handles them.
   *
   * @throws IOException If the selector fails.
   */
  private void select() throws IOException {
    Optional<Long> next = timers.nextNanos();
    if (next.isEmpty()) {
      selector.select(this::onReady);
      return;
    }
    long wait = (next.get() - System.nanoTime() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    if (wait <= 0 || !tasks.isEmpty()) {
      selector.selectNow(this::onReady);
    } else {
      selector.select(this::onReady, wait);
      addStall(System.nanoTime() - next.get());
    }
  }

  /** Counts a time for which the loop did not run or did not look for I/O events. */
  private void addStall(long nanos) {
    if (nanos > MIN_STALL_NANOS) {
      stalledNanos += nanos;
    }
  }

  private void onReady(SelectionKey key) {
    now = System.nanoTime();
    if (busySince.isEmpty()) {
      busySince = OptionalLong.of(now);
    }
    guard(
        () -> {
          switch (key.attachment()) {
            case Connection connection -> onConnectionReady(connection);
            case TcpListener listener -> listener.accept();
            case UdpSocket socket -> socket.onReady();
            default -> throw new IllegalStateException("unexpected attachment of a selection key");
          }
        });
  }

  /** Handles I/O events of a connection, and closes it if its handler throws. */
  private void onConnectionReady(Connection connection) {
    try {
      connection.onReady();
    } catch (RuntimeException | Error thrown) {
      Logger.error(thrown, "closing a connection whose handler threw an exception");
      connection.fail("unexpected exception: " + thrown);
    }
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      guard(task);
    }
  }

  private void runDueTimers() {
    for (Optional<TimerWheel.Entry> next = timers.pollDue(now);
        next.isPresent();
        next = timers.pollDue(now)) {
      Timer due = (Timer) next.get();
      if (!prolong(due)) {
        guard(due::run);
      }
    }
  }

  /**
   * Prolongs a timer by the time for which the loop was stalled since it was scheduled.
   *
   * @return {@code false} if the timer is not to be prolonged, or was already.
   */
  private boolean prolong(Timer timer) {
    long stalled = stalledNanos + (now - timer.due) - timer.stallsBefore;
    if (timer.prolongation == 0 || stalled < MIN_STALL_NANOS) {
      return false;
    }
    timer.due = now + Math.min(stalled, timer.prolongation);
    timer.prolongation = 0;
    timers.add(timer, timer.due);
    return true;
  }

  private void flush() {
    for (Connection next = unflushed.poll(); next != null; next = unflushed.poll()) {
      Connection connection = next;
      guard(connection::flush);
    }
  }

  /**
   * Runs a step and logs what it throws, errors of the JVM included, so that the handling of one
   * event can't end the thread and with it all sessions.
   */
  private static void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error thrown) {
      Logger.error(thrown, "uncaught exception in the event loop");
    }
  }

  /** A scheduled action; confined to the thread of the loop. */
  public static final class Timer extends TimerWheel.Entry {

    private final TimerWheel wheel;

    /** When the action is due, in nanoseconds of the monotonic clock. */
    private long due;

    /** The action, empty once it ran or was cancelled, so that nothing stays reachable by it. */
    private Optional<Runnable> action;

    /** The stalls of the loop when the timer was scheduled, in nanoseconds. */
    private long stallsBefore;

    /** The longest time by which stalls may still prolong the timer, in nanoseconds. */
    private long prolongation;

    private Timer(TimerWheel wheel, long due, Runnable action) {
      this.wheel = wheel;
      this.due = due;
      this.action = Optional.of(action);
    }

    /** Removes this timer, so that the action does not run; has no effect after it ran. */
    public void cancel() {
      wheel.remove(this);
      action = Optional.empty();
    }

    private void run() {
      Optional<Runnable> scheduled = action;
      action = Optional.empty();
      scheduled.ifPresent(Runnable::run);
    }
  }
}
