package org.hickoryshed.session.promotion;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.worker.QueueWorker;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Requests promotions, each under a generation number of its own that serves as a fencing token.
 *
 * <p>The intent is recorded before the promotion is requested, by a conditional write that only one
 * proxy can win. A generation number is never used twice, whatever the outcome of its request,
 * because a request may still be executed late. For a few seconds after a record, only the proxy
 * that wrote it may request another promotion of the same pool.
 *
 * <p>Requests run one after the other on a thread of their own, since the store and the promotion
 * service block.
 */
public final class PromotionCoordinator implements Service {

  /** The time for which only the proxy that wrote the last record may request another promotion. */
  private static final Duration EXCLUSIVE_PERIOD = Duration.ofSeconds(4);

  /**
   * The age by the wall clock from which a record counts as older than the exclusive period. It is
   * larger than that period because the clocks of two proxies may differ.
   */
  private static final Duration STALE_RECORD_AGE = Duration.ofSeconds(10);

  /**
   * The longest time from a record to its request. Requests that come later, after a pause of the
   * process, could follow those of another proxy.
   */
  private static final Duration MAX_REQUEST_DELAY = Duration.ofSeconds(1);

  /**
   * The times to wait for a response of the promotion service. A request without a response is
   * repeated under the next generation number, so that a late execution of the earlier one has no
   * effect.
   */
  private static final List<Duration> RESPONSE_TIMEOUTS =
      List.of(Duration.ofMillis(120), Duration.ofMillis(250), Duration.ofMillis(450));

  private static final int MAX_QUEUED_REQUESTS = 64;

  /** The second attempt follows a conflict, with the generation number after the stored one. */
  private static final int MAX_WRITE_ATTEMPTS = 2;

  private final String name;

  private final PromotionRecordStore records;

  private final PromotionService promotions;

  private final StepDetectingClock clock;

  private final EventLog log;

  /** The last known record of each pool; used only by the worker thread. */
  private final Map<String, KnownRecord> lastRecords = new HashMap<>();

  /**
   * When another proxy last announced a promotion of a pool, as a monotonic clock reading in
   * nanoseconds.
   */
  private final Map<String, Long> announcedNanos = new ConcurrentHashMap<>();

  private final QueueWorker<Runnable> worker;

  /**
   * Creates a coordinator that is not yet started.
   *
   * @param name The name of this proxy.
   * @param records The store of the promotion records.
   * @param promotions The service that promotes members.
   * @param clock The wall clock.
   * @param monotonicClock The monotonic clock in nanoseconds.
   * @param log The event log.
   */
  public PromotionCoordinator(
      String name,
      PromotionRecordStore records,
      PromotionService promotions,
      InstantSource clock,
      LongSupplier monotonicClock,
      EventLog log) {
    this.name = name;
    this.records = records;
    this.promotions = promotions;
    this.clock = new StepDetectingClock(clock, monotonicClock);
    this.log = log;
    worker =
        new QueueWorker<>(
            "takeover", MAX_QUEUED_REQUESTS, Duration.ofHours(1), new RequestHandler());
  }

  @Override
  public void start() {
    worker.start();
  }

  @Override
  public void stop() {
    worker.stop();
  }

  /**
   * Queues a request to promote a member; may be called by any thread and does not block.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member to promote.
   * @param reason Why the primary is replaced, for the log.
   * @param preparation Called on the worker thread each time an intent is recorded, before the
   *     promotion service is called; returns whether it may be called.
   * @param mayTakeEffect Called on the worker thread each time the promotion service has accepted a
   *     request or may have done so; the member becomes the primary some time after that.
   * @param result Receives the result on the worker thread.
   * @return {@code false} if the queue is full; no callback is called then.
   */
  public boolean requestPromotion(
      String pool,
      String member,
      String reason,
      BooleanSupplier preparation,
      Runnable mayTakeEffect,
      Consumer<PromotionResult> result) {
    return worker.offer(
        () -> result.accept(promoteNow(pool, member, reason, preparation, mayTakeEffect)));
  }

  /**
   * Notes that another proxy recorded a promotion; may be called by any thread.
   *
   * @param pool The name of the pool.
   */
  public void onPromotionAnnounced(String pool) {
    announcedNanos.put(pool, clock.monotonicNanos());
  }

  /**
   * Records and requests a promotion on the calling thread, and repeats both while no response
   * arrives, or if this process paused between the two.
   */
  PromotionResult promoteNow(
      String pool,
      String member,
      String reason,
      BooleanSupplier preparation,
      Runnable mayTakeEffect) {
    PromotionResult result = PromotionResult.NOT_HOLDER;
    for (Duration timeout : RESPONSE_TIMEOUTS) {
      ClockReading before = clock.read();
      Optional<PromotionRecord> intent = recordIntent(pool, member);
      if (intent.isEmpty()) {
        return result;
      }
      if (isTooLate(before, pool, intent.get(), "the record took too long")) {
        continue;
      }
      if (!preparation.getAsBoolean()) {
        logNotRequested(pool, intent.get(), "the member does not hold all commits");
        return result == PromotionResult.NOT_HOLDER ? PromotionResult.NOT_PREPARED : result;
      }
      if (isTooLate(before, pool, intent.get(), "the preparation took too long")) {
        continue;
      }
      result = sendRequest(pool, intent.get(), reason, timeout);
      if (result == PromotionResult.REFUSED) {
        return result;
      }
      mayTakeEffect.run();
      if (result == PromotionResult.ACCEPTED) {
        return result;
      }
    }
    return result;
  }

  /** Checks if a promotion must not be requested any more under a record, and logs it. */
  private boolean isTooLate(
      ClockReading before, String pool, PromotionRecord record, String reason) {
    boolean tooLate = clock.read().millisSince(before) > MAX_REQUEST_DELAY.toMillis();
    if (tooLate) {
      logNotRequested(pool, record, reason);
    }
    return tooLate;
  }

  private void logNotRequested(String pool, PromotionRecord record, String reason) {
    log.event("takeover-not-ordered")
        .with("pool", pool)
        .with("generation", record.generation())
        .with("reason", reason)
        .write();
  }

  private PromotionResult sendRequest(
      String pool, PromotionRecord record, String reason, Duration timeout) {
    PromotionService.Outcome outcome = promotions.promote(pool, record, timeout);
    log.event("takeover-ordered")
        .with("pool", pool)
        .with("member", record.member())
        .with("generation", record.generation())
        .with("reason", reason)
        .with("outcome", outcome)
        .write();
    return switch (outcome) {
      case PromotionService.Outcome.Accepted ignored -> PromotionResult.ACCEPTED;
      case PromotionService.Outcome.Refused ignored -> PromotionResult.REFUSED;
      case PromotionService.Outcome.Unknown ignored -> PromotionResult.UNKNOWN;
    };
  }

  /**
   * Records the intent to promote a member under the next generation number.
   *
   * @return The record, or an empty optional if this proxy may not request the promotion or the
   *     write has no certain outcome.
   */
  private Optional<PromotionRecord> recordIntent(String pool, String member) {
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      KnownRecord known = lastRecords.get(pool);
      if (known != null && !mayPromoteAfter(known)) {
        log.event("takeover-left")
            .with("pool", pool)
            .with("holder", known.record.holder())
            .with("generation", known.record.generation())
            .write();
        return Optional.empty();
      }
      long revision = known == null ? 0 : known.revision;
      long last = known == null ? 0 : known.record.generation();
      long generation = Math.max(last, records.generationFloor()) + 1;
      PromotionRecord record = new PromotionRecord(name, generation, member, clock.steadyMillis());
      switch (records.writeIfUnchanged(pool, revision, record)) {
        case PromotionRecordStore.WriteOutcome.Written written -> {
          lastRecords.put(
              pool, new KnownRecord(pool, record, written.revision(), clock.monotonicNanos()));
          return Optional.of(record);
        }
        case PromotionRecordStore.WriteOutcome.Conflict conflict ->
            lastRecords.put(
                pool,
                new KnownRecord(
                    pool, conflict.stored(), conflict.revision(), clock.monotonicNanos()));
        case PromotionRecordStore.WriteOutcome.Unknown unknown -> {
          log.event("takeover-not-recorded")
              .with("pool", pool)
              .with("detail", unknown.detail())
              .write();
          return Optional.empty();
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Checks if this proxy may request a promotion after the given record.
   *
   * @return {@code true} if this proxy wrote the record or its exclusive period has ended.
   */
  private boolean mayPromoteAfter(KnownRecord known) {
    if (known.record.holder().equals(name)) {
      return true;
    }
    if (hasExclusivePeriodPassed(known.firstSeenNanos)) {
      return true;
    }
    boolean announced =
        Optional.ofNullable(announcedNanos.get(known.pool))
            .map(nanos -> !hasExclusivePeriodPassed(nanos))
            .orElse(false);
    long age = Math.abs(clock.steadyMillis() - known.record.recordedMillis());
    return !announced && !clock.hasStepped() && age > STALE_RECORD_AGE.toMillis();
  }

  private boolean hasExclusivePeriodPassed(long sinceNanos) {
    return clock.monotonicNanos() - sinceNanos > EXCLUSIVE_PERIOD.toNanos();
  }

  /** The result of a promotion request. The names appear in the metric {@code takeovers}. */
  public enum PromotionResult {
    /** The member becomes the primary soon. */
    ACCEPTED,
    /** The promotion service refused the request, which has no effect. */
    REFUSED,
    /** No response arrived; the promotion may still take effect later. */
    UNKNOWN,
    /** Another proxy may request promotions for now, or the record could not be written. */
    NOT_HOLDER,
    /** The member might lack acknowledged commits, so nothing was requested. */
    NOT_PREPARED
  }

  /** Runs the queued requests on the worker thread. */
  private static final class RequestHandler implements QueueWorker.Handler<Runnable> {

    @Override
    public void onItem(Runnable event) {
      event.run();
    }

    @Override
    public void onTick() {
      // There is no periodic work.
    }
  }

  /**
   * The last record of a pool that this proxy read or wrote.
   *
   * @param pool The name of the pool.
   * @param record The record.
   * @param revision Its revision in the store.
   * @param firstSeenNanos The monotonic clock reading in nanoseconds when this proxy first saw the
   *     record.
   */
  private record KnownRecord(
      String pool, PromotionRecord record, long revision, long firstSeenNanos) {}
}
