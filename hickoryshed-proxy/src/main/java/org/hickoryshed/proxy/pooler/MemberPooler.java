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

/** The pooler of one database member: the shell of its scheduler. */
final class MemberPooler implements QueueWorker.Handler<PoolerEvent> {

  /** The number of events that wait at most. */
  private static final int RING = 8192;

  /** The longest time between two ticks. */
  private static final Duration TICK = Duration.ofMillis(20);

  /** The longest time to wait for a connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** The time for which work that already runs may exceed its deadline. */
  private static final long RUNNING_MARGIN = 200;

  /** The time in milliseconds without work after which a replaced pooler gives connections up. */
  private static final long RETIRE_AFTER = 2_000;

  /** The member. */
  private final Member member;

  /** The client of the member. */
  private final MemberClient client;

  /** The sender of requests. */
  private final RequestSender sender;

  /** The metrics. */
  private final Metrics metrics;

  /** The scheduler, used by the thread of the duty only. */
  private final MemberScheduler scheduler;

  /** The work that waits or runs, used by the thread of the duty only. */
  private final Map<Long, PoolerEvent.Arrived> pending = new HashMap<>();

  /** The identifiers of connections at the member, used by the thread of the duty only. */
  private final Map<Long, String> identifiers = new HashMap<>();

  /** The thread of this pooler. */
  private final QueueWorker<PoolerEvent> duty;

  /** The identifier of the latest work. */
  private final AtomicLong latest = new AtomicLong();

  /** True if another VM is preferred as pooler of the member. */
  private volatile boolean replaced;

  /** The time in milliseconds of the latest arrival. */
  private volatile long arrivedAt = System.currentTimeMillis();

  /** The numbers for operators. */
  private volatile PoolerStatus status;

  /**
   * Creates a new pooler.
   *
   * @param member The member.
   * @param limits The limits.
   * @param client The client of the member.
   * @param metrics The metrics.
   */
  MemberPooler(Member member, PoolLimits limits, MemberClient client, Metrics metrics) {
    this.member = member;
    this.client = client;
    this.metrics = metrics;
    sender = new RequestSender(member, client);
    scheduler = new MemberScheduler(limits);
    status = new PoolerStatus(member.name(), 0, 0, 0, 0);
    duty = new QueueWorker<>("pool-" + member.name(), RING, TICK, this);
    duty.start();
  }

  /**
   * Runs a request within the limits of the pool.
   *
   * @param request The request.
   * @param transaction The number of the transaction or zero.
   * @return What came back, not yet confirmed.
   */
  SendResult execute(Message.Execute request, long transaction) {
    long now = System.currentTimeMillis();
    arrivedAt = now;
    Work work =
        new Work(
            latest.incrementAndGet(),
            request.label(),
            request.kind(),
            transaction,
            request.priority(),
            now,
            now + request.timeoutMillis());
    CompletableFuture<SendResult> answer = new CompletableFuture<>();
    if (!duty.offer(new PoolerEvent.Arrived(work, request, answer))) {
      return SendResult.withoutResponse(
          new Outcome.NotRun(Reason.OVERLOADED, "the ring of the pooler is full"));
    }
    return await(answer, request.timeoutMillis() + RUNNING_MARGIN);
  }

  /**
   * Waits for what comes back for work.
   *
   * @param answer The future that holds what came back.
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @return What came back.
   */
  private static SendResult await(CompletableFuture<SendResult> answer, long timeoutMillis) {
    try {
      return answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException exception) {
      return SendResult.withoutResponse(
          new Outcome.Unknown(Reason.ANSWER_LOST, exception.toString()));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return SendResult.withoutResponse(new Outcome.Unknown(Reason.ANSWER_LOST, "interrupted"));
    }
  }

  /**
   * Changes the limits.
   *
   * @param limits The limits.
   * @param preferredElsewhere {@code true} if another VM is preferred as pooler of the member.
   */
  void update(PoolLimits limits, boolean preferredElsewhere) {
    replaced = preferredElsewhere;
    duty.offer(new PoolerEvent.Limited(limits));
  }

  /** Rolls back all transactions, closes all idle connections and ends the thread. */
  void stop() {
    duty.offer(new PoolerEvent.ShutDown());
  }

  /**
   * Returns the numbers for operators.
   *
   * @return The numbers.
   */
  PoolerStatus status() {
    return status;
  }

  @Override
  public void onEvent(PoolerEvent event) {
    long now = System.currentTimeMillis();
    List<Command> commands =
        switch (event) {
          case PoolerEvent.Arrived arrived -> {
            pending.put(arrived.work().id(), arrived);
            yield scheduler.onArrival(arrived.work());
          }
          case PoolerEvent.Connected(long connection, String identifier) -> {
            identifiers.put(connection, identifier);
            yield scheduler.onConnected(connection, now);
          }
          case PoolerEvent.ConnectFailed(long connection) ->
              scheduler.onConnectFailed(connection, now);
          case PoolerEvent.Finished(long work, var end) -> {
            pending.remove(work);
            yield scheduler.onFinished(work, end, now);
          }
          case PoolerEvent.Limited(PoolLimits limits) -> {
            scheduler.setLimits(limits);
            scheduler.setRetiring(replaced && now - arrivedAt > RETIRE_AFTER);
            yield scheduler.onTick(now);
          }
          case PoolerEvent.ShutDown ignored -> {
            List<Command> closing = scheduler.shutdown();
            duty.stop();
            yield closing;
          }
        };
    carryOut(commands);
  }

  @Override
  public void onTick() {
    long now = System.currentTimeMillis();
    carryOut(scheduler.onTick(now));
    status =
        new PoolerStatus(
            member.name(),
            scheduler.waitingCount(),
            scheduler.runningCount(),
            scheduler.connectionCount(),
            scheduler.transactionCount());
  }

  /**
   * Carries commands of the scheduler out.
   *
   * @param commands The commands.
   */
  private void carryOut(List<Command> commands) {
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
   * Opens a connection.
   *
   * @param connection The identifier of the connection at the scheduler.
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
    offerSurely(event);
  }

  /**
   * Runs work on a connection.
   *
   * @param work The work.
   * @param connection The identifier of the connection at the scheduler.
   */
  private void run(Work work, long connection) {
    PoolerEvent.Arrived arrived = pending.get(work.id());
    String identifier = identifiers.get(connection);
    long timeout = Math.max(1, work.deadline() + RUNNING_MARGIN - System.currentTimeMillis());
    Thread.ofVirtual()
        .name("run")
        .start(
            () -> {
              SendResult sent =
                  sender.send(identifier, arrived.request(), Duration.ofMillis(timeout));
              offerSurely(new PoolerEvent.Finished(work.id(), sent.end()));
              arrived.answer().complete(sent);
            });
  }

  /**
   * Refuses work that has not run.
   *
   * @param work The work.
   * @param refusal The reason.
   */
  private void refuse(Work work, Refusal refusal) {
    Outcome.NotRun outcome =
        switch (refusal) {
          case Refusal.Overloaded(long retryAfter) ->
              new Outcome.NotRun(Reason.OVERLOADED, "the work can't finish in time", retryAfter);
          case Refusal.DeadlineExceeded ignored ->
              new Outcome.NotRun(Reason.DEADLINE, "the deadline passed in the queue");
          case Refusal.NoConnection ignored ->
              new Outcome.NotRun(Reason.UNREACHABLE, "the member accepts no connection");
          case Refusal.NoTransaction ignored ->
              new Outcome.NotRun(Reason.NO_TRANSACTION, "the transaction is not open");
        };
    metrics.counter("work_refused", "reason", outcome.reason().name()).inc();
    pending.remove(work.id()).answer().complete(SendResult.withoutResponse(outcome));
  }

  /**
   * Closes a connection.
   *
   * @param connection The identifier of the connection at the scheduler.
   */
  private void close(long connection) {
    String identifier = identifiers.remove(connection);
    Thread.ofVirtual()
        .name("close")
        .start(() -> client.close(member.address(), identifier, CONNECT_TIMEOUT));
  }

  /**
   * Offers an event that must not be lost, from a thread that may wait.
   *
   * @param event The event.
   */
  private void offerSurely(PoolerEvent event) {
    while (!duty.offer(event)) {
      Thread.onSpinWait();
    }
  }
}
