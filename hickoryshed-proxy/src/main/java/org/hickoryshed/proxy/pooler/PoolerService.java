package org.hickoryshed.proxy.pooler;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.commit.Confirmation;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.pool.PoolLimits;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.protocol.statement.TransactionId;
import org.hickoryshed.proxy.ProxySettings;
import org.hickoryshed.proxy.document.ActiveDocuments;

/**
 * Runs requests at database members through the poolers of this process.
 *
 * <p>Any process may serve as pooler of any member: the pooler of a member is created with the
 * first request for it and removed when the configuration no longer names the member. A response
 * that shows data or an effect is returned as done only after a majority of the members holds the
 * log position that it reflects. All methods may be called by any thread.
 */
public final class PoolerService implements Service {

  /** The interval at which the poolers are adapted to the configuration and the VM list. */
  private static final Duration REVIEW_INTERVAL = Duration.ofMillis(500);

  /** Milliseconds after its deadline for which a request may wait for confirmation. */
  private static final long CONFIRMATION_GRACE_MILLIS = 100;

  private static final Duration STATUS_TIMEOUT = Duration.ofMillis(300);

  private final ProxySettings settings;
  private final ActiveDocuments documents;
  private final MemberClient client;
  private final Metrics metrics;
  private final EventRecorder recorder;
  private final Map<Member, MemberPooler> poolers = new ConcurrentHashMap<>();
  private final Map<Database, MemberStatusPoller> statusPollers = new ConcurrentHashMap<>();
  private final AtomicLong latestTransactionNumber = new AtomicLong();

  /** The number of requests that are being run or confirmed. */
  private final AtomicInteger requestsInProgress = new AtomicInteger();

  private final PeriodicTask review;

  /** True once this process refuses new work. */
  private volatile boolean draining;

  /** Creates the service. Its poolers are created on demand. */
  public PoolerService(
      ProxySettings settings,
      ActiveDocuments documents,
      MemberClient client,
      Metrics metrics,
      EventRecorder recorder) {
    this.settings = settings;
    this.documents = documents;
    this.client = client;
    this.metrics = metrics;
    this.recorder = recorder;
    review = new PeriodicTask("review-poolers", REVIEW_INTERVAL, this::review);
  }

  @Override
  public void start() {
    review.start();
  }

  @Override
  public void stop() {
    review.stop();
    poolers.values().forEach(MemberPooler::stop);
  }

  /**
   * Refuses new requests from now on, so that other VMs take them over. Open transactions may
   * continue.
   */
  public void drain() {
    draining = true;
    recorder.record("poolers-draining");
  }

  /**
   * Checks if {@link #drain()} was called.
   *
   * @return {@code true} if new requests are refused.
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Checks if nothing is in progress.
   *
   * @return {@code true} if no request waits, runs or is being confirmed and no transaction is
   *     open.
   */
  public boolean isIdle() {
    return requestsInProgress.get() == 0 && statuses().stream().allMatch(PoolerStatus::isIdle);
  }

  /** Returns the load of each pooler, for operators. */
  public List<PoolerStatus> statuses() {
    return poolers.values().stream().map(MemberPooler::status).toList();
  }

  /**
   * Runs a request at a member and waits until a majority confirms its effect. Blocks the calling
   * thread; the wait for confirmation may exceed the timeout of the request briefly.
   *
   * @return The confirmed outcome, and the latest status of the member if it is known.
   */
  public Message.Executed execute(Message.Execute request) {
    requestsInProgress.incrementAndGet();
    try {
      return executeAndConfirm(request);
    } finally {
      requestsInProgress.decrementAndGet();
    }
  }

  /** Runs a request and waits until a majority confirms what the member answered. */
  private Message.Executed executeAndConfirm(Message.Execute request) {
    Configuration configuration = documents.configuration();
    Optional<Database> database = configuration.database(request.database());
    Optional<Member> member = database.flatMap(found -> found.member(request.member()));
    if (member.isEmpty()) {
      return notRun(Reason.NOT_SERVED, "no member " + request.member() + " is configured");
    }
    if (draining && !isInTransaction(request)) {
      return notRun(Reason.NOT_SERVED, "the pooler is shutting down");
    }
    Optional<TransactionId> transaction = transaction(request);
    if (isInTransaction(request) && !isOfThisRun(transaction)) {
      return notRun(
          Reason.NO_TRANSACTION, "the transaction was not begun by this run of the pooler");
    }
    long deadline = System.currentTimeMillis() + request.timeoutMillis();
    MemberStatusPoller statusPoller = statusPoller(database.get());
    if (request.kind() == Work.Kind.READ && !awaitFloor(statusPoller, request)) {
      return new Message.Executed(
          new Outcome.NotRun(Reason.BEHIND, "the member has not caught up"),
          statusPoller.latestStatus(request.member()));
    }
    MemberPooler pooler = pooler(configuration, member.get());
    long transactionNumber = transaction.map(TransactionId::number).orElse(0L);
    SendResult result = pooler.execute(request, transactionNumber);
    result.status().ifPresent(statusPoller::observe);
    Outcome outcome = confirm(statusPoller, request, result, deadline + CONFIRMATION_GRACE_MILLIS);
    Optional<TransactionId> begun =
        request.kind() == Work.Kind.BEGIN && outcome instanceof Outcome.Done
            ? transaction
            : Optional.empty();
    return new Message.Executed(outcome, result.status(), begun);
  }

  /**
   * Proves a read barrier: a log position that covers every write acknowledged before this call.
   *
   * @return The barrier; its position is empty if the database is not configured or no majority of
   *     the members proved one in time.
   */
  public Message.Barrier proveBarrier(Message.AskBarrier request) {
    long deadline = System.currentTimeMillis() + request.timeoutMillis();
    return new Message.Barrier(
        documents
            .configuration()
            .database(request.database())
            .flatMap(database -> statusPoller(database).awaitBarrier(deadline)));
  }

  /**
   * Requests the status of a member.
   *
   * @return The status; empty if the member is not configured or does not answer.
   */
  public Message.Status requestMemberStatus(Message.AskStatus request) {
    Optional<Database> database = documents.configuration().database(request.database());
    Optional<MemberStatus> status =
        database
            .flatMap(found -> found.member(request.member()))
            .flatMap(member -> client.status(member.address(), STATUS_TIMEOUT).value());
    status.ifPresent(known -> statusPoller(database.orElseThrow()).observe(known));
    return new Message.Status(status);
  }

  /**
   * Waits until the member has applied the floor of a read, that is the log position that the read
   * must see. Waits for at most half the timeout of the request.
   *
   * @return {@code true} if the member has caught up.
   */
  private boolean awaitFloor(MemberStatusPoller statusPoller, Message.Execute request) {
    if (request.floor().equals(LogPosition.ORIGIN)) {
      return true;
    }
    long wait = Math.min(settings.catchUpWait().toMillis(), request.timeoutMillis() / 2);
    return statusPoller.awaitApplied(
        request.member(), request.floor(), System.currentTimeMillis() + wait);
  }

  /**
   * Returns the outcome for the caller, after a majority confirmed the position of a completed
   * request.
   *
   * @param deadline The time in epoch milliseconds at which to give up.
   */
  private Outcome confirm(
      MemberStatusPoller statusPoller, Message.Execute request, SendResult result, long deadline) {
    if (!(result.outcome() instanceof Outcome.Done done) || !requiresConfirmation(request)) {
      return result.outcome();
    }
    if (request.kind() == Work.Kind.READ && !done.position().covers(request.floor())) {
      return new Outcome.NotRun(
          Reason.BEHIND, "the log of the member no longer covers the floor of the read");
    }
    long start = System.nanoTime();
    Confirmation state = statusPoller.awaitConfirmation(done.position(), deadline);
    metrics.recordDuration("confirmation", System.nanoTime() - start);
    return switch (state) {
      case CONFIRMED ->
          result.isCancelled()
              ? new Outcome.NotRun(Reason.CANCELLED, "the idempotency key is recorded as cancelled")
              : done;
      case SUPERSEDED -> new Outcome.Unknown(Reason.SUPERSEDED, "the primary was replaced");
      case PENDING ->
          new Outcome.Unknown(Reason.NOT_CONFIRMED, "no majority confirmed the position in time");
    };
  }

  /**
   * Checks if the response to a request shows data or an effect, which a majority must confirm.
   *
   * @return {@code false} for the begin and the rollback of a transaction.
   */
  private static boolean requiresConfirmation(Message.Execute request) {
    return switch (request.kind()) {
      case BEGIN -> false;
      case END -> request.commit();
      case READ, WRITE, STEP -> true;
    };
  }

  /**
   * Returns the transaction of a request.
   *
   * @return The transaction, a new one for a begin, or an empty optional outside a transaction.
   */
  private Optional<TransactionId> transaction(Message.Execute request) {
    if (request.kind() != Work.Kind.BEGIN) {
      return request.transaction();
    }
    return Optional.of(
        new TransactionId(
            settings.name(),
            recorder.incarnation(),
            request.database(),
            request.member(),
            latestTransactionNumber.incrementAndGet()));
  }

  /** Checks if a transaction was begun by this run of this process. */
  private boolean isOfThisRun(Optional<TransactionId> transaction) {
    return transaction
        .filter(id -> id.vm().equals(settings.name()))
        .filter(id -> id.incarnation().equals(recorder.incarnation()))
        .isPresent();
  }

  /** Checks if a request belongs to a transaction that was begun earlier. */
  private static boolean isInTransaction(Message.Execute request) {
    return request.kind() == Work.Kind.STEP || request.kind() == Work.Kind.END;
  }

  /** Returns the status poller of a database, which is created on the first call. */
  private MemberStatusPoller statusPoller(Database database) {
    return statusPollers.computeIfAbsent(database, key -> new MemberStatusPoller(key, client));
  }

  /** Returns the pooler of a member, which is created on the first call. */
  private MemberPooler pooler(Configuration configuration, Member member) {
    return poolers.computeIfAbsent(
        member,
        key -> new MemberPooler(key, limits(configuration, key).orElseThrow(), client, metrics));
  }

  /**
   * Applies the configuration and the VM list to all poolers and removes those that are not needed.
   */
  private void review() {
    Configuration configuration = documents.configuration();
    poolers.forEach(
        (member, pooler) -> {
          Optional<PoolLimits> limits = limits(configuration, member);
          if (limits.isPresent()) {
            pooler.update(limits.get(), !isPreferred(member));
          } else if (poolers.remove(member, pooler)) {
            recorder.record("pooler-removed", "member", member.name());
            pooler.stop();
          }
        });
    statusPollers.keySet().removeIf(database -> !configuration.databases().contains(database));
  }

  /**
   * Returns the limits of a member.
   *
   * @return The limits or an empty optional if the member is not configured.
   */
  private static Optional<PoolLimits> limits(Configuration configuration, Member member) {
    for (Pool pool : configuration.pools()) {
      for (Database database : pool.databases()) {
        if (database.members().contains(member)) {
          return Optional.of(PoolLimits.of(pool));
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Checks if this VM is preferred as pooler of a member.
   *
   * @return {@code true} if this VM is preferred or no VM of the member's failure domain is known.
   */
  private boolean isPreferred(Member member) {
    List<Vm> order =
        RendezvousHashing.order(
            member.name(), documents.vmList().notLeavingOrAll(member.domain()), Vm::name);
    return order.isEmpty() || order.getFirst().name().equals(settings.name());
  }

  /** Creates the response to a request that did not run. */
  private static Message.Executed notRun(Reason reason, String detail) {
    return new Message.Executed(new Outcome.NotRun(reason, detail), Optional.empty());
  }
}
