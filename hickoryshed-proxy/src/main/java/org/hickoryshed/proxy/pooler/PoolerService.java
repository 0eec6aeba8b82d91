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

/** All poolers of this process. Any process may serve as pooler of any member. */
public final class PoolerService implements Service {

  /** The time between two reviews of limits and preferences. */
  private static final Duration REVIEW = Duration.ofMillis(500);

  /** The time in milliseconds for which a commit may wait for confirmation after its deadline. */
  private static final long CONFIRM_MARGIN = 100;

  /** The longest time to wait for a status. */
  private static final Duration STATUS_TIMEOUT = Duration.ofMillis(300);

  /** The settings. */
  private final ProxySettings settings;

  /** The documents. */
  private final ActiveDocuments documents;

  /** The client of the members. */
  private final MemberClient client;

  /** The metrics. */
  private final Metrics metrics;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The poolers by the members. */
  private final Map<Member, MemberPooler> poolers = new ConcurrentHashMap<>();

  /** The status watches by the databases. */
  private final Map<Database, MemberStatusPoller> watches = new ConcurrentHashMap<>();

  /** The number of the latest transaction. */
  private final AtomicLong latestTransaction = new AtomicLong();

  /** The number of requests that are being run or confirmed. */
  private final AtomicInteger executing = new AtomicInteger();

  /** The duty that reviews limits and preferences. */
  private final PeriodicTask review;

  /** True while this process hands its work over. */
  private volatile boolean draining;

  /**
   * Creates new poolers.
   *
   * @param settings The settings.
   * @param documents The documents.
   * @param client The client of the members.
   * @param metrics The metrics.
   * @param recorder The event recorder.
   */
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
    review = new PeriodicTask("review-poolers", REVIEW, this::review);
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

  /** Refuses new work, so that other processes take it over. */
  public void drain() {
    draining = true;
    recorder.record("poolers-draining");
  }

  /**
   * Checks if this process hands its work over.
   *
   * @return {@code true} if new work is refused.
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Checks if nothing is in progress.
   *
   * @return {@code true} if no work waits, runs or is being confirmed and no transaction is open.
   */
  public boolean isIdle() {
    return executing.get() == 0 && statuses().stream().allMatch(PoolerStatus::isIdle);
  }

  /**
   * Returns the numbers for operators.
   *
   * @return The numbers of each pooler.
   */
  public List<PoolerStatus> statuses() {
    return poolers.values().stream().map(MemberPooler::status).toList();
  }

  /**
   * Runs a request at a member.
   *
   * @param request The request.
   * @return The confirmed outcome and the latest status of the member.
   */
  public Message.Executed execute(Message.Execute request) {
    executing.incrementAndGet();
    try {
      return executeAndConfirm(request);
    } finally {
      executing.decrementAndGet();
    }
  }

  /**
   * Runs a request at a member and confirms what it answered.
   *
   * @param request The request.
   * @return The confirmed outcome and the latest status of the member.
   */
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
    if (isInTransaction(request) && !isOwn(transaction)) {
      return notRun(Reason.NO_TRANSACTION, "the transaction is not of this run of the pooler");
    }
    long deadline = System.currentTimeMillis() + request.timeoutMillis();
    MemberStatusPoller watch = watch(database.get());
    if (request.kind() == Work.Kind.READ && !catchUp(watch, request)) {
      return new Message.Executed(
          new Outcome.NotRun(Reason.BEHIND, "the member has not caught up"),
          watch.latestStatus(request.member()));
    }
    MemberPooler pooler = pooler(configuration, member.get());
    long number = transaction.map(TransactionId::number).orElse(0L);
    SendResult sent = pooler.execute(request, number);
    sent.status().ifPresent(watch::observe);
    Outcome outcome = confirm(watch, request, sent, deadline + CONFIRM_MARGIN);
    Optional<TransactionId> begun =
        request.kind() == Work.Kind.BEGIN && outcome instanceof Outcome.Done
            ? transaction
            : Optional.empty();
    return new Message.Executed(outcome, sent.status(), begun);
  }

  /**
   * Proves a barrier for reads.
   *
   * @param request The request.
   * @return The barrier.
   */
  public Message.Barrier proveBarrier(Message.AskBarrier request) {
    long deadline = System.currentTimeMillis() + request.timeoutMillis();
    return new Message.Barrier(
        documents
            .configuration()
            .database(request.database())
            .flatMap(database -> watch(database).awaitBarrier(deadline)));
  }

  /**
   * Asks a member for its status.
   *
   * @param request The request.
   * @return The status.
   */
  public Message.Status requestMemberStatus(Message.AskStatus request) {
    Optional<Database> database = documents.configuration().database(request.database());
    Optional<MemberStatus> status =
        database
            .flatMap(found -> found.member(request.member()))
            .flatMap(member -> client.status(member.address(), STATUS_TIMEOUT).value());
    status.ifPresent(known -> watch(database.orElseThrow()).observe(known));
    return new Message.Status(status);
  }

  /**
   * Waits until a replica has applied what a read must see.
   *
   * @param watch The status watch of the database.
   * @param request The request.
   * @return {@code true} if the member has caught up.
   */
  private boolean catchUp(MemberStatusPoller watch, Message.Execute request) {
    if (request.floor().equals(LogPosition.ORIGIN)) {
      return true;
    }
    long wait = Math.min(settings.catchUpWait().toMillis(), request.timeoutMillis() / 2);
    return watch.awaitApplied(request.member(), request.floor(), System.currentTimeMillis() + wait);
  }

  /**
   * Confirms what a member answered.
   *
   * @param watch The status watch of the database.
   * @param request The request.
   * @param sent What came back.
   * @param deadline The time in milliseconds at which to give up.
   * @return The confirmed outcome.
   */
  private Outcome confirm(
      MemberStatusPoller watch, Message.Execute request, SendResult sent, long deadline) {
    if (!(sent.outcome() instanceof Outcome.Done done) || !mustConfirm(request)) {
      return sent.outcome();
    }
    if (request.kind() == Work.Kind.READ && !done.position().covers(request.floor())) {
      return new Outcome.NotRun(Reason.BEHIND, "the member was reset while it answered");
    }
    long start = System.nanoTime();
    Confirmation state = watch.awaitConfirmation(done.position(), deadline);
    metrics.recordDuration("confirmation", System.nanoTime() - start);
    return switch (state) {
      case CONFIRMED ->
          sent.isCancelled()
              ? new Outcome.NotRun(Reason.CANCELLED, "the key was claimed before")
              : done;
      case SUPERSEDED -> new Outcome.Unknown(Reason.SUPERSEDED, "the primary was replaced");
      case PENDING -> new Outcome.Unknown(Reason.NOT_CONFIRMED, "no majority holds the position");
    };
  }

  /**
   * Checks if the answer to a request shows data.
   *
   * @param request The request.
   * @return {@code false} for the begin and the rollback of a transaction.
   */
  private static boolean mustConfirm(Message.Execute request) {
    return switch (request.kind()) {
      case BEGIN -> false;
      case END -> request.commit();
      case READ, WRITE, STEP -> true;
    };
  }

  /**
   * Returns the transaction of a request.
   *
   * @param request The request.
   * @return The transaction, a fresh one for a begin.
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
            latestTransaction.incrementAndGet()));
  }

  /**
   * Checks if a transaction is of this run of this process.
   *
   * @param transaction The transaction.
   * @return {@code true} if the transaction is of this run.
   */
  private boolean isOwn(Optional<TransactionId> transaction) {
    return transaction
        .filter(id -> id.vm().equals(settings.name()))
        .filter(id -> id.incarnation().equals(recorder.incarnation()))
        .isPresent();
  }

  /**
   * Checks if a request belongs to a transaction that was begun earlier.
   *
   * @param request The request.
   * @return {@code true} if the request belongs to a transaction.
   */
  private static boolean isInTransaction(Message.Execute request) {
    return request.kind() == Work.Kind.STEP || request.kind() == Work.Kind.END;
  }

  /**
   * Returns the status watch of a database.
   *
   * @param database The database.
   * @return The status watch.
   */
  private MemberStatusPoller watch(Database database) {
    return watches.computeIfAbsent(database, key -> new MemberStatusPoller(key, client));
  }

  /**
   * Returns the pooler of a member.
   *
   * @param configuration The configuration.
   * @param member The member.
   * @return The pooler.
   */
  private MemberPooler pooler(Configuration configuration, Member member) {
    return poolers.computeIfAbsent(
        member,
        key -> new MemberPooler(key, limits(configuration, key).orElseThrow(), client, metrics));
  }

  /** Adapts all poolers to the configuration and the VM list. */
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
    watches.keySet().removeIf(database -> !configuration.databases().contains(database));
  }

  /**
   * Returns the limits of a member.
   *
   * @param configuration The configuration.
   * @param member The member.
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
   * @param member The member.
   * @return {@code true} if this VM is preferred or the failure domain has no VM.
   */
  private boolean isPreferred(Member member) {
    List<Vm> order =
        RendezvousHashing.order(
            member.name(), documents.vmList().notLeavingOrAll(member.domain()), Vm::name);
    return order.isEmpty() || order.getFirst().name().equals(settings.name());
  }

  /**
   * Answers that a request did not run.
   *
   * @param reason The reason.
   * @param detail What is known about the request.
   * @return The answer.
   */
  private static Message.Executed notRun(Reason reason, String detail) {
    return new Message.Executed(new Outcome.NotRun(reason, detail), Optional.empty());
  }
}
