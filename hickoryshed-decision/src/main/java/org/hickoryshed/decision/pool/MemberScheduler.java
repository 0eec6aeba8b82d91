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
 * The scheduler of one database member: it admits work, shares the slots and the connections.
 *
 * <p>A scheduler is driven by one thread. It has no clock; each event carries its time.
 */
public final class MemberScheduler {

  /** The number of connections kept ready beyond the slots. */
  private static final int READY_BEYOND_SLOTS = 1;

  /** The order of arrival. */
  private static final Comparator<Work> BY_ARRIVAL = Comparator.comparingLong(Work::id);

  /** The learnt costs. */
  private final CostEstimator costs = new CostEstimator();

  /** The connections. */
  private final ConnectionPool connections = new ConnectionPool();

  /** The work that waits. */
  private final List<Work> waiting = new ArrayList<>();

  /** The work that runs, by its identifier. */
  private final Map<Long, Running> running = new HashMap<>();

  /** The limits. */
  private PoolLimits limits;

  /** True if this scheduler is to give up its connections. */
  private boolean retiring;

  /**
   * Creates a new scheduler.
   *
   * @param limits The limits.
   */
  public MemberScheduler(PoolLimits limits) {
    this.limits = limits;
  }

  /**
   * Changes the limits.
   *
   * @param limits The new limits.
   */
  public void setLimits(PoolLimits limits) {
    this.limits = limits;
  }

  /**
   * Sets whether another pooler takes the place of this one.
   *
   * @param retiring {@code true} if idle connections are to be given up.
   */
  public void setRetiring(boolean retiring) {
    this.retiring = retiring;
  }

  /**
   * Handles the arrival of work.
   *
   * @param work The work.
   * @return The commands.
   */
  public List<Command> onArrival(Work work) {
    List<Command> commands = new ArrayList<>();
    long now = work.arrivedAt();
    if (isInTransaction(work) && connections.transaction(work.transaction()) == null) {
      commands.add(new Command.Refuse(work, new Refusal.NoTransaction()));
      return commands;
    }
    long wait = expectedWait(work, now);
    if (isHopeless(work, wait, now)) {
      commands.add(new Command.Refuse(work, new Refusal.Overloaded(wait)));
      return commands;
    }
    waiting.add(work);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles an opened connection.
   *
   * @param connection The identifier of the connection.
   * @param now The current time in milliseconds.
   * @return The commands.
   */
  public List<Command> onConnected(long connection, long now) {
    List<Command> commands = new ArrayList<>();
    connections.opened(connection);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles a connection that could not be opened.
   *
   * @param connection The identifier of the connection.
   * @param now The current time in milliseconds.
   * @return The commands.
   */
  public List<Command> onConnectFailed(long connection, long now) {
    List<Command> commands = new ArrayList<>();
    connections.refused(connection, now);
    if (connections.total() == 0) {
      waiting.forEach(work -> commands.add(new Command.Refuse(work, new Refusal.NoConnection())));
      waiting.clear();
    }
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles the end of work that ran.
   *
   * @param id The identifier of the work.
   * @param end How the work ended.
   * @param now The current time in milliseconds.
   * @return The commands.
   */
  public List<Command> onFinished(long id, WorkOutcome end, long now) {
    List<Command> commands = new ArrayList<>();
    Running ended = running.remove(id);
    if (ended == null) {
      return commands;
    }
    Work work = ended.work();
    if (end == WorkOutcome.ANSWERED) {
      costs.record(work.label(), now - ended.startedAt());
    }
    settleConnection(ended, end, now, commands);
    dispatch(now, commands);
    return commands;
  }

  /**
   * Handles the passing of time.
   *
   * @param now The current time in milliseconds.
   * @return The commands.
   */
  public List<Command> onTick(long now) {
    List<Command> commands = new ArrayList<>();
    connections.expire(now - limits.transactionIdleMillis(), commands);
    dispatch(now, commands);
    if (retiring) {
      connections.closeIdle(commands);
    }
    return commands;
  }

  /**
   * Rolls back all transactions and closes all idle connections.
   *
   * @return The commands.
   */
  public List<Command> shutdown() {
    List<Command> commands = new ArrayList<>();
    connections.expire(Long.MAX_VALUE, commands);
    connections.closeIdle(commands);
    return commands;
  }

  /**
   * Counts the work that waits.
   *
   * @return The number of units of work that wait.
   */
  public int waitingCount() {
    return waiting.size();
  }

  /**
   * Counts the work that runs.
   *
   * @return The number of units of work that run.
   */
  public int runningCount() {
    return running.size();
  }

  /**
   * Counts all connections.
   *
   * @return The number of connections that are open or being opened.
   */
  public int connectionCount() {
    return connections.total();
  }

  /**
   * Counts the open transactions.
   *
   * @return The number of open transactions.
   */
  public int transactionCount() {
    return connections.openTransactions();
  }

  /**
   * Refuses work that is too late and runs what can run.
   *
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   */
  private void dispatch(long now, List<Command> commands) {
    refuseLate(now, commands);
    waiting.sort(order());
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

  /**
   * Refuses the work whose deadline passed.
   *
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   */
  private void refuseLate(long now, List<Command> commands) {
    if (limits.scheduling() == Pool.Scheduling.FIFO) {
      return;
    }
    waiting.removeIf(
        work -> {
          boolean late = work.deadline() <= now;
          if (late) {
            commands.add(new Command.Refuse(work, new Refusal.DeadlineExceeded()));
          }
          return late;
        });
  }

  /**
   * Checks if the policy lets work start in a free slot.
   *
   * @param work The work.
   * @return {@code true} if the work may start.
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
   * Starts work on a connection.
   *
   * @param work The work.
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   * @return {@code true} if the work was started or refused.
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
    OptionalLong connection = connections.take();
    if (connection.isEmpty()) {
      return false;
    }
    run(work, connection.getAsLong(), now, commands);
    return true;
  }

  /**
   * Runs work on a connection.
   *
   * @param work The work.
   * @param connection The identifier of the connection.
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   */
  private void run(Work work, long connection, long now, List<Command> commands) {
    running.put(work.id(), new Running(work, connection, now));
    commands.add(new Command.Run(work, connection));
  }

  /**
   * Returns, binds or closes the connection of work that ended.
   *
   * @param ended The work with its connection.
   * @param end How the work ended.
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   */
  private void settleConnection(Running ended, WorkOutcome end, long now, List<Command> commands) {
    Work work = ended.work();
    boolean usable = end != WorkOutcome.LOST;
    switch (work.kind()) {
      case READ, WRITE -> connections.release(ended.connection(), usable, commands);
      case BEGIN -> {
        if (end == WorkOutcome.ANSWERED) {
          connections.bind(work.transaction(), ended.connection());
          connections.transaction(work.transaction()).usedAt = now;
        } else {
          connections.release(ended.connection(), usable, commands);
        }
      }
      case STEP -> {
        ConnectionPool.Transaction transaction = connections.transaction(work.transaction());
        transaction.running = false;
        transaction.usedAt = now;
        if (end != WorkOutcome.ANSWERED) {
          connections.end(work.transaction(), false, commands);
        }
      }
      case END -> connections.end(work.transaction(), end == WorkOutcome.ANSWERED, commands);
    }
  }

  /**
   * Opens connections ahead of need, because a new one is slow.
   *
   * @param now The current time in milliseconds.
   * @param commands The commands to add to.
   */
  private void openAhead(long now, List<Command> commands) {
    if (retiring && waiting.isEmpty()) {
      return;
    }
    long needed = waiting.stream().filter(work -> !isInTransaction(work)).count();
    long ready = retiring ? 0 : limits.slots() + READY_BEYOND_SLOTS - running.size();
    long wanted = Math.max(Math.min(needed, limits.slots()), ready);
    while (connections.spare() < wanted
        && connections.open(limits.connections(), needed > 0, now, commands)) {
      // Continues until enough connections are open or being opened.
    }
  }

  /**
   * Returns the order in which waiting work is considered.
   *
   * @return The order of the policy.
   */
  private Comparator<Work> order() {
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
   * Estimates how long work would wait for a slot.
   *
   * @param work The work.
   * @param now The current time in milliseconds.
   * @return The estimated wait in milliseconds.
   */
  private long expectedWait(Work work, long now) {
    Comparator<Work> order = order();
    boolean longWork = isLong(work);
    double ahead = 0;
    for (Work other : waiting) {
      if (order.compare(other, work) < 0 && (longWork || !isLong(other))) {
        ahead += costs.estimate(other.label());
      }
    }
    int lanes = limits.slots();
    for (Running entry : running.values()) {
      double rest = costs.estimate(entry.work().label()) - (now - entry.startedAt());
      if (!longWork && isLong(entry.work())) {
        lanes--;
      } else {
        ahead += Math.max(0, rest);
      }
    }
    return (long) Math.ceil(ahead / Math.max(1, lanes));
  }

  /**
   * Checks if work is to be refused at its arrival.
   *
   * @param work The work.
   * @param wait The estimated wait in milliseconds.
   * @param now The current time in milliseconds.
   * @return {@code true} if the work can't finish in time or the queue is full.
   */
  private boolean isHopeless(Work work, long wait, long now) {
    if (work.kind() == Work.Kind.END) {
      return false;
    }
    if (waiting.size() >= limits.queue()) {
      return true;
    }
    return limits.scheduling() == Pool.Scheduling.SHORT_FIRST
        && now + wait + costs.estimate(work.label()) > work.deadline();
  }

  /**
   * Checks if work counts as long.
   *
   * @param work The work.
   * @return {@code true} if the learnt cost reaches the bound for long work.
   */
  private boolean isLong(Work work) {
    return costs.estimate(work.label()) >= limits.longWorkMillis();
  }

  /**
   * Counts the slots in use.
   *
   * @return The number of slots in use.
   */
  private int slotsInUse() {
    return running.size();
  }

  /**
   * Checks if work belongs to a transaction that was begun earlier.
   *
   * @param work The work.
   * @return {@code true} if the connection of a transaction is needed.
   */
  private static boolean isInTransaction(Work work) {
    return work.kind() == Work.Kind.STEP || work.kind() == Work.Kind.END;
  }

  /**
   * Work that runs.
   *
   * @param work The work.
   * @param connection The identifier of the connection.
   * @param startedAt The time in milliseconds at which the work started.
   */
  private record Running(Work work, long connection, long startedAt) {}
}
