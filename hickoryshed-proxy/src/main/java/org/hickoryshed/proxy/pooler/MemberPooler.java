package org.hickoryshed.proxy.pooler;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.pool.Command;
import org.hickoryshed.decision.pool.MemberScheduler;
import org.hickoryshed.decision.pool.PoolLimits;
import org.hickoryshed.decision.pool.Refusal;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.worker.QueueWorker;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/**
 * Pools the connections to one database member and runs all requests to it.
 *
 * <p>A {@link MemberScheduler} decides which request runs next, on which connection, and what is
 * refused; this class carries out its commands. The scheduler belongs to one thread, which handles
 * a bounded queue of events in order of arrival. Everything that blocks, such as a call to the
 * member, runs on a virtual thread and reports its result as an event.
 */
final class MemberPooler implements QueueWorker.Handler<PoolerEvent> {

  private static final int EVENT_QUEUE_CAPACITY = 8192;

  /** The longest time between two checks of deadlines and idle transactions. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

  /** The timeout of opening and of closing a connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Milliseconds by which work that already runs may exceed its deadline. */
  private static final long RUNNING_GRACE_MILLIS = 200;

  /**
   * Milliseconds without new work after which a pooler closes its idle connections, if another VM
   * is preferred as pooler of the member.
   */
  private static final long RETIRE_AFTER_MILLIS = 2_000;

  private final Member member;
  private final MemberClient client;
  private final RequestSender sender;
  private final Metrics metrics;

  /** Used by the thread of {@link #worker} only. */
  private final MemberScheduler scheduler;

  /** Waiting and running work by its identifier; used by the thread of {@link #worker} only. */
  private final Map<Long, PoolerEvent.WorkArrived> pending = new HashMap<>();

  /**
   * The member's identifiers of connections by those of the scheduler; used by the thread of {@link
   * #worker} only.
   */
  private final Map<Long, String> memberConnectionIds = new HashMap<>();

  /** The thread that handles all events. */
  private final QueueWorker<PoolerEvent> worker;

  private final AtomicLong latestWorkId = new AtomicLong();

  /** True if another VM is preferred as pooler of the member. */
  private volatile boolean replaced;

  /** The time of the latest request in epoch milliseconds. */
  private volatile long latestArrivalMillis = System.currentTimeMillis();

  /** The counts at the latest tick. */
  private volatile PoolerStatus status;

  /** Creates a pooler and starts its thread. */
  MemberPooler(Member member, PoolLimits limits, MemberClient client, Metrics metrics) {
    this.member = member;
    this.client = client;
    this.metrics = metrics;
    sender = new RequestSender(member, client);
    scheduler = new MemberScheduler(limits);
    status = new PoolerStatus(member.name(), 0, 0, 0, 0);
    worker = new QueueWorker<>("pool-" + member.name(), EVENT_QUEUE_CAPACITY, TICK_INTERVAL, this);
    worker.start();
  }

  /**
   * Queues a request and waits for its result. Blocks the calling thread until the result is known
   * or the request times out.
   *
   * @param transaction The number of the transaction, or zero for work outside a transaction.
   * @return The result; its outcome is not yet confirmed by a majority of the members.
   */
  SendResult execute(Message.Execute request, long transaction) {
    long now = System.currentTimeMillis();
    latestArrivalMillis = now;
    Work work =
        new Work(
            latestWorkId.incrementAndGet(),
            request.label(),
            request.kind(),
            transaction,
            request.priority(),
            now,
            now + request.timeoutMillis());
    CompletableFuture<SendResult> result = new CompletableFuture<>();
    if (!worker.offer(new PoolerEvent.WorkArrived(work, request, result))) {
      return SendResult.withoutResponse(
          new Outcome.NotRun(Reason.OVERLOADED, "the event queue of the pooler is full"));
    }
    return await(result, request.timeoutMillis() + RUNNING_GRACE_MILLIS);
  }

  /**
   * Waits for the result of queued work. After a timeout the outcome is unknown, because the work
   * may have run.
   */
  private static SendResult await(CompletableFuture<SendResult> result, long timeoutMillis) {
    try {
      return result.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException exception) {
      return SendResult.withoutResponse(
          new Outcome.Unknown(Reason.ANSWER_LOST, exception.toString()));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return SendResult.withoutResponse(new Outcome.Unknown(Reason.ANSWER_LOST, "interrupted"));
    }
  }

  /**
   * Sets the limits and whether another VM should take this pooler's place.
   *
   * @param preferredElsewhere {@code true} if another VM is preferred as pooler of the member.
   */
  void update(PoolLimits limits, boolean preferredElsewhere) {
    replaced = preferredElsewhere;
    worker.offer(new PoolerEvent.LimitsUpdated(limits));
  }

  /**
   * Asks the thread of this pooler to roll back all transactions, close all idle connections and
   * end. Doesn't wait for it.
   */
  void stop() {
    worker.offer(new PoolerEvent.ShutdownRequested());
  }

  /** Returns the counts at the latest tick, for operators. */
  PoolerStatus status() {
    return status;
  }

  @Override
  public void onItem(PoolerEvent event) {
    long now = System.currentTimeMillis();
    List<Command> commands =
        switch (event) {
          case PoolerEvent.WorkArrived arrived -> {
            pending.put(arrived.work().id(), arrived);
            yield scheduler.onArrival(arrived.work());
          }
          case PoolerEvent.Connected(long connection, String memberConnectionId) -> {
            memberConnectionIds.put(connection, memberConnectionId);
            yield scheduler.onConnected(connection, now);
          }
          case PoolerEvent.ConnectFailed(long connection) ->
              scheduler.onConnectFailed(connection, now);
          case PoolerEvent.WorkFinished(long work, var workOutcome) -> {
            pending.remove(work);
            yield scheduler.onFinished(work, workOutcome, now);
          }
          case PoolerEvent.LimitsUpdated(PoolLimits limits) -> {
            scheduler.setLimits(limits);
            scheduler.setRetiring(replaced && now - latestArrivalMillis > RETIRE_AFTER_MILLIS);
            yield scheduler.onTick(now);
          }
          case PoolerEvent.ShutdownRequested ignored -> {
            List<Command> closing = scheduler.shutdown();
            worker.stop();
            yield closing;
          }
        };
    runCommands(commands);
  }

  @Override
  public void onTick() {
    long now = System.currentTimeMillis();
    runCommands(scheduler.onTick(now));
    status =
        new PoolerStatus(
            member.name(),
            scheduler.waitingCount(),
            scheduler.runningCount(),
            scheduler.connectionCount(),
            scheduler.transactionCount());
  }

  /** Carries out commands of the scheduler without blocking. */
  private void runCommands(List<Command> commands) {
    for (Command command : commands) {
      switch (command) {
        case Command.Connect(long connection) ->
            Thread.ofVirtual().name("connect").start(() -> connect(connection));
        case Command.Run(Work work, long connection) -> run(work, connection);
        case Command.Refuse(Work work, Refusal refusal) -> refuse(work, refusal);
        case Command.Close(long connection) -> close(connection);
      }
    }
  }

  /**
   * Opens a connection and reports the result to the scheduler.
   *
   * @param connection The scheduler's identifier of the connection.
   */
  private void connect(long connection) {
    Result<MemberClient.Opened, CallFailure> opened =
        client.connect(member.address(), CONNECT_TIMEOUT);
    PoolerEvent event =
        switch (opened) {
          case Result.Success<MemberClient.Opened, CallFailure>(MemberClient.Opened value) ->
              new PoolerEvent.Connected(connection, value.connection());
          case Result.Failed<MemberClient.Opened, CallFailure> ignored -> {
            metrics.counter("connects_failed", "member", member.name()).inc();
            yield new PoolerEvent.ConnectFailed(connection);
          }
        };
    offerUntilAccepted(event);
  }

  /**
   * Sends work to the member on a virtual thread.
   *
   * @param connection The scheduler's identifier of the connection.
   */
  private void run(Work work, long connection) {
    PoolerEvent.WorkArrived arrived = pending.get(work.id());
    String memberConnectionId = memberConnectionIds.get(connection);
    long timeout = Math.max(1, work.deadline() + RUNNING_GRACE_MILLIS - System.currentTimeMillis());
    Thread.ofVirtual()
        .name("run")
        .start(
            () -> {
              SendResult sendResult =
                  sender.send(memberConnectionId, arrived.request(), Duration.ofMillis(timeout));
              offerUntilAccepted(new PoolerEvent.WorkFinished(work.id(), sendResult.workOutcome()));
              arrived.result().complete(sendResult);
            });
  }

  /** Completes work that the scheduler refused to run. */
  private void refuse(Work work, Refusal refusal) {
    Outcome.NotRun outcome =
        switch (refusal) {
          case Refusal.Overloaded(long retryAfter) ->
              new Outcome.NotRun(
                  Reason.OVERLOADED,
                  "the request would not finish before its deadline",
                  retryAfter);
          case Refusal.DeadlineExceeded ignored ->
              new Outcome.NotRun(
                  Reason.DEADLINE, "the deadline passed while the request was queued");
          case Refusal.NoConnection ignored ->
              new Outcome.NotRun(Reason.UNREACHABLE, "the member accepts no connection");
          case Refusal.NoTransaction ignored ->
              new Outcome.NotRun(
                  Reason.NO_TRANSACTION, "the transaction does not exist or has ended");
        };
    metrics.counter("work_refused", "reason", outcome.reason().name()).inc();
    pending.remove(work.id()).result().complete(SendResult.withoutResponse(outcome));
  }

  /**
   * Closes a connection on a virtual thread.
   *
   * @param connection The scheduler's identifier of the connection.
   */
  private void close(long connection) {
    String memberConnectionId = memberConnectionIds.remove(connection);
    Thread.ofVirtual()
        .name("close")
        .start(() -> client.close(member.address(), memberConnectionId, CONNECT_TIMEOUT));
  }

  /**
   * Adds an event that must not be lost and spins while the queue is full. For threads that may
   * wait.
   */
  private void offerUntilAccepted(PoolerEvent event) {
    while (!worker.offer(event)) {
      Thread.onSpinWait();
    }
  }
}
