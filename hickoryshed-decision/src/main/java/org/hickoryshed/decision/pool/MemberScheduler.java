package org.hickoryshed.decision.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hickoryshed.decision.configuration.Pool;

/**
 * Schedules the work for one database member: decides on admission, queues what is admitted and
 * assigns slots and connections.
 *
 * <p>A slot is the right to run one statement on the member. The scheduler is a state machine
 * without I/O: each event handler returns the commands that the caller carries out in order. It has
 * no clock, each event carries its time. All methods must be called by one thread.
 */
public final class MemberScheduler {

  /** The number of connections that are kept open beyond the number of slots. */
  private static final int CONNECTIONS_BEYOND_SLOTS = 1;

  /** Identifiers increase in the order of arrival. */
  private static final Comparator<Work> BY_ARRIVAL = Comparator.comparingLong(Work::id);

  private final CostEstimator costs = new CostEstimator();

  private final ConnectionPool connections = new ConnectionPool();

  /** The queued work. */
  private final List<Work> waiting = new ArrayList<>();

  /** The running work by its identifier. */
  private final Map<Long, Running> running = new HashMap<>();

  private PoolLimits limits;

  /** True if another scheduler takes over and this one closes its connections. */
  private boolean retiring;

  /**
   * Creates a scheduler without connections.
   *
   * @param limits The initial limits.
   */
  public MemberScheduler(PoolLimits limits) {
    this.limits = limits;
  }

  /**
   * Replaces the limits. They take effect with the next event; running work is not interrupted.
   *
   * @param limits The new limits.
   */
  public void setLimits(PoolLimits limits) {
    this.limits = limits;
  }

  /**
   * Sets whether another scheduler replaces this one. While retiring, the scheduler still serves
   * work, closes idle connections on each tick and opens new ones only for queued work.
   *
   * @param retiring {@code true} if this scheduler is being replaced.
   */
  public void setRetiring(boolean retiring) {
    this.retiring = retiring;
  }

  /**
   * Handles the arrival of work: refuses it or queues it.
   *
   * @param work The work, whose time of arrival is taken as the current time.
   * @return The commands to carry out.
   */
  public List<Command> onArrival(Work work) {
    List<Command> commands = new ArrayList<>();
    long now = work.arrivedAt();
    if (isInTransaction(work) && connections.transaction(work.transaction()) == null) {
      commands.add(new Command.Refuse(work, new Refusal.NoTransaction()));
      return commands;
    }
    long wait = estimateWait(work, now);
    if (isRejected(work, wait, now)) {
      commands.add(new Command.Refuse(work, new Refusal.Overloaded(wait)));
      return commands;
    }
    waiting.add(work);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles a connection that was opened.
   *
   * @param connection The identifier from {@link Command.Connect}.
   * @param now The current time in milliseconds.
   * @return The commands to carry out.
   */
  public List<Command> onConnected(long connection, long now) {
    List<Command> commands = new ArrayList<>();
    connections.onOpened(connection);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles a connection that could not be opened. If no other connection is left, all queued work
   * is refused.
   *
   * @param connection The identifier from {@link Command.Connect}.
   * @param now The current time in milliseconds.
   * @return The commands to carry out.
   */
  public List<Command> onConnectFailed(long connection, long now) {
    List<Command> commands = new ArrayList<>();
    connections.onOpenFailed(connection, now);
    if (connections.totalCount() == 0) {
      waiting.forEach(work -> commands.add(new Command.Refuse(work, new Refusal.NoConnection())));
      waiting.clear();
    }
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles the end of running work. Only work with a complete response contributes to the cost
   * estimates.
   *
   * @param id The identifier of the work; ignored if it is not running.
   * @param outcome The result, which decides whether the connection can be reused.
   * @param now The current time in milliseconds.
   * @return The commands to carry out.
   */
  public List<Command> onFinished(long id, WorkOutcome outcome, long now) {
    List<Command> commands = new ArrayList<>();
    Running finished = running.remove(id);
    if (finished == null) {
      return commands;
    }
    Work work = finished.work();
    if (outcome == WorkOutcome.ANSWERED) {
      costs.record(work.label(), now - finished.startedAt());
    }
    updateConnection(finished, outcome, now, commands);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles the passing of time: rolls back idle transactions, refuses expired work and replaces
   * missing connections. Called periodically.
   *
   * @param now The current time in milliseconds.
   * @return The commands to carry out.
   */
  public List<Command> onTick(long now) {
    List<Command> commands = new ArrayList<>();
    connections.closeIdleTransactions(now - limits.transactionIdleMillis(), commands);
    dispatch(now, commands);
    if (retiring) {
      connections.closeIdleConnections(commands);
    }
    return commands;
  }

  /**
   * Closes the idle connections and those of transactions that have no statement in flight, which
   * rolls these transactions back.
   *
   * @return The commands to carry out.
   */
  public List<Command> shutdown() {
    List<Command> commands = new ArrayList<>();
    connections.closeIdleTransactions(Long.MAX_VALUE, commands);
    connections.closeIdleConnections(commands);
    return commands;
  }

  /**
   * Returns the length of the queue.
   *
   * @return The number of queued units of work.
   */
  public int waitingCount() {
    return waiting.size();
  }

  /**
   * Returns the number of slots in use.
   *
   * @return The number of running units of work.
   */
  public int runningCount() {
    return running.size();
  }

  /**
   * Returns the size of the connection pool.
   *
   * @return The number of connections that are open or being opened.
   */
  public int connectionCount() {
    return connections.totalCount();
  }

  /**
   * Returns the number of connections that are bound to a transaction.
   *
   * @return The number of open transactions.
   */
  public int transactionCount() {
    return connections.transactionCount();
  }

  /**
   * Refuses expired work, starts queued work while slots are free, and opens connections.
   *
   * <p>Under FIFO, work that can't start blocks everything behind it except for statements of open
   * transactions.
   */
  private void dispatch(long now, List<Command> commands) {
    refuseExpired(now, commands);
    waiting.sort(dispatchOrder());
    Iterator<Work> candidates = waiting.iterator();
    while (candidates.hasNext() && slotsInUse() < limits.slots()) {
      Work work = candidates.next();
      if (mayStart(work) && start(work, now, commands)) {
        candidates.remove();
      } else if (limits.scheduling() == Pool.Scheduling.FIFO && !isInTransaction(work)) {
        break;
      }
    }
    openAhead(now, commands);
  }

  /** Refuses queued work whose deadline has passed. FIFO ignores deadlines. */
  private void refuseExpired(long now, List<Command> commands) {
    if (limits.scheduling() == Pool.Scheduling.FIFO) {
      return;
    }
    waiting.removeIf(
        work -> {
          boolean expired = work.deadline() <= now;
          if (expired) {
            commands.add(new Command.Refuse(work, new Refusal.DeadlineExceeded()));
          }
          return expired;
        });
  }

  /**
   * Checks whether work may start in a free slot: a transaction runs one statement at a time, and
   * under {@code SHORT_FIRST} long work leaves one slot to short work.
   */
  private boolean mayStart(Work work) {
    ConnectionPool.Transaction transaction = connections.transaction(work.transaction());
    if (transaction != null && transaction.running) {
      return false;
    }
    if (limits.scheduling() == Pool.Scheduling.FIFO || !isLong(work)) {
      return true;
    }
    long longRunning = running.values().stream().filter(entry -> isLong(entry.work())).count();
    return longRunning < Math.max(1, limits.slots() - 1);
  }

  /**
   * Starts work on the connection of its transaction or on an idle one. Work whose transaction
   * ended while it was queued is refused.
   *
   * @return {@code true} if the work leaves the queue, {@code false} if no connection is idle.
   */
  private boolean start(Work work, long now, List<Command> commands) {
    if (isInTransaction(work)) {
      ConnectionPool.Transaction transaction = connections.transaction(work.transaction());
      if (transaction == null) {
        commands.add(new Command.Refuse(work, new Refusal.NoTransaction()));
        return true;
      }
      transaction.running = true;
      run(work, transaction.connection, now, commands);
      return true;
    }
    OptionalLong connection = connections.acquire();
    if (connection.isEmpty()) {
      return false;
    }
    run(work, connection.getAsLong(), now, commands);
    return true;
  }

  private void run(Work work, long connection, long now, List<Command> commands) {
    running.put(work.id(), new Running(work, connection, now));
    commands.add(new Command.Run(work, connection));
  }

  /** Releases, binds or closes the connection on which work has finished. */
  private void updateConnection(
      Running finished, WorkOutcome outcome, long now, List<Command> commands) {
    Work work = finished.work();
    boolean reusable = outcome != WorkOutcome.LOST;
    switch (work.kind()) {
      case READ, WRITE -> connections.release(finished.connection(), reusable, commands);
      case BEGIN -> {
        if (outcome == WorkOutcome.ANSWERED) {
          connections.bindToTransaction(work.transaction(), finished.connection());
          connections.transaction(work.transaction()).usedAt = now;
        } else {
          connections.release(finished.connection(), reusable, commands);
        }
      }
      case STEP -> {
        ConnectionPool.Transaction transaction = connections.transaction(work.transaction());
        transaction.running = false;
        transaction.usedAt = now;
        if (outcome != WorkOutcome.ANSWERED) {
          connections.endTransaction(work.transaction(), false, commands);
        }
      }
      case END ->
          connections.endTransaction(work.transaction(), outcome == WorkOutcome.ANSWERED, commands);
    }
  }

  /**
   * Opens connections before they are needed, because connecting is slow. The target is one per
   * free slot plus {@link #CONNECTIONS_BEYOND_SLOTS}, and at least one per queued unit of work up
   * to the number of slots.
   */
  private void openAhead(long now, List<Command> commands) {
    if (retiring && waiting.isEmpty()) {
      return;
    }
    long needed = waiting.stream().filter(work -> !isInTransaction(work)).count();
    long ready = retiring ? 0 : limits.slots() + CONNECTIONS_BEYOND_SLOTS - running.size();
    long wanted = Math.max(Math.min(needed, limits.slots()), ready);
    while (connections.availableCount() < wanted
        && connections.tryOpen(limits.connections(), needed > 0, now, commands)) {
      // Continues until enough connections are open or being opened.
    }
  }

  /** Returns the order in which queued work is considered under the configured policy. */
  private Comparator<Work> dispatchOrder() {
    return switch (limits.scheduling()) {
      case FIFO -> BY_ARRIVAL;
      case SHORT_FIRST ->
          Comparator.comparing((Work work) -> work.kind())
              .thenComparingInt(Work::priority)
              .thenComparing(this::isLong)
              .thenComparing(BY_ARRIVAL);
    };
  }

  /**
   * Estimates in milliseconds how long work would wait for a slot: the estimated cost of the work
   * ahead of it, divided by the slots that serve it. For short work, a slot that runs long work
   * does not count, and neither does queued long work.
   */
  private long estimateWait(Work work, long now) {
    Comparator<Work> order = dispatchOrder();
    boolean longWork = isLong(work);
    double ahead = 0;
    for (Work other : waiting) {
      if (order.compare(other, work) < 0 && (longWork || !isLong(other))) {
        ahead += costs.estimate(other.label());
      }
    }
    int slots = limits.slots();
    for (Running entry : running.values()) {
      double remaining = costs.estimate(entry.work().label()) - (now - entry.startedAt());
      if (!longWork && isLong(entry.work())) {
        slots--;
      } else {
        ahead += Math.max(0, remaining);
      }
    }
    return (long) Math.ceil(ahead / Math.max(1, slots));
  }

  /**
   * Decides on admission. Work is rejected if the queue is full, or under {@code SHORT_FIRST} if it
   * is not expected to finish before its deadline. The end of a transaction is always admitted.
   */
  private boolean isRejected(Work work, long wait, long now) {
    if (work.kind() == Work.Kind.END) {
      return false;
    }
    if (waiting.size() >= limits.queue()) {
      return true;
    }
    return limits.scheduling() == Pool.Scheduling.SHORT_FIRST
        && now + wait + costs.estimate(work.label()) > work.deadline();
  }

  /** Checks whether the estimated cost of work reaches the threshold for long work. */
  private boolean isLong(Work work) {
    return costs.estimate(work.label()) >= limits.longWorkMillis();
  }

  private int slotsInUse() {
    return running.size();
  }

  /** Checks whether work must run on the connection of a transaction that was begun earlier. */
  private static boolean isInTransaction(Work work) {
    return work.kind() == Work.Kind.STEP || work.kind() == Work.Kind.END;
  }

  /**
   * A unit of work in a slot.
   *
   * @param work The running work.
   * @param connection The identifier of the connection that it runs on.
   * @param startedAt The time in milliseconds at which it started.
   */
  private record Running(Work work, long connection, long startedAt) {}
}
