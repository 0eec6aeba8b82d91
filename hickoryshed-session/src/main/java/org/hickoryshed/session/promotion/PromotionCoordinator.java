package org.hickoryshed.session.promotion;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hickoryshed.kernel.duty.Duty;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Gives the orders that replace primaries, each under a fresh generation number.
 *
 * <p>The intent is recorded before the order is given, by a conditional write that only one proxy
 * can win. The number is never used again, whatever becomes of the order: it may be carried out
 * late. For a while after an order only its holder may give another one for the same pool.
 */
public final class PromotionCoordinator implements Service {

  /** The time for which only the holder of the last order may give another one. */
  private static final Duration TENURE = Duration.ofSeconds(4);

  /** The age by the time of day from which an order is surely older than the tenure. */
  private static final Duration SURELY_OLD = Duration.ofSeconds(10);

  /**
   * The times to wait for an answer. An order without one is given again under the next number, so
   * that a late execution of the first has no effect.
   */
  private static final List<Duration> ANSWER_TIMEOUTS =
      List.of(Duration.ofMillis(120), Duration.ofMillis(250), Duration.ofMillis(450));

  /** The number of orders that wait at most. */
  private static final int WAITING_ORDERS = 64;

  /** The number of attempts to write the record. */
  private static final int WRITE_ATTEMPTS = 2;

  /** The name of this proxy. */
  private final String name;

  /** The records. */
  private final PromotionRecordStore records;

  /** The service that carries orders out. */
  private final PromotionService promotions;

  /** The time of day. */
  private final InstantSource clock;

  /** The steady clock in nanoseconds. */
  private final LongSupplier steady;

  /** The log. */
  private final EventLog log;

  /** The last record of each pool that this proxy saw. */
  private final Map<String, Seen> seen = new HashMap<>();

  /** The thread that carries this duty. */
  private final Duty<Runnable> duty;

  /**
   * Creates the duty.
   *
   * @param name The name of this proxy.
   * @param records The records.
   * @param promotions The service that carries orders out.
   * @param clock The time of day.
   * @param steady The steady clock in nanoseconds.
   * @param log The log.
   */
  public PromotionCoordinator(
      String name,
      PromotionRecordStore records,
      PromotionService promotions,
      InstantSource clock,
      LongSupplier steady,
      EventLog log) {
    this.name = name;
    this.records = records;
    this.promotions = promotions;
    this.clock = clock;
    this.steady = steady;
    this.log = log;
    duty = new Duty<>("takeover", WAITING_ORDERS, Duration.ofHours(1), new Runner());
  }

  @Override
  public void start() {
    duty.start();
  }

  @Override
  public void stop() {
    duty.stop();
  }

  /**
   * Orders that a member leads, on the thread of this duty.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   * @param reason Why the primary is replaced.
   * @param claimed Run once the intent is recorded, on the thread of this duty.
   * @param result The receiver of the result; called on the thread of this duty.
   * @return {@code false} if too many orders wait.
   */
  public boolean requestPromotion(
      String pool, String member, String reason, Runnable claimed, Consumer<OrderResult> result) {
    return duty.offer(() -> result.accept(orderNow(pool, member, reason, claimed)));
  }

  /**
   * Orders that a member leads.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   * @param reason Why the primary is replaced.
   * @param announce Run once the intent is recorded.
   * @return The result.
   */
  OrderResult orderNow(String pool, String member, String reason, Runnable announce) {
    OrderResult result = OrderResult.NOT_HOLDER;
    for (Duration timeout : ANSWER_TIMEOUTS) {
      Optional<PromotionRecord> claimed = claim(pool, member);
      if (claimed.isEmpty()) {
        return result;
      }
      announce.run();
      result = give(pool, claimed.get(), reason, timeout);
      if (result != OrderResult.UNKNOWN) {
        return result;
      }
    }
    return result;
  }

  /**
   * Gives an order that is recorded.
   *
   * @param pool The pool.
   * @param record The recorded order.
   * @param reason Why the member is to lead.
   * @param timeout The longest time to wait for an answer.
   * @return The result.
   */
  private OrderResult give(String pool, PromotionRecord record, String reason, Duration timeout) {
    PromotionService.Outcome outcome = promotions.promote(pool, record, timeout);
    log.event("takeover-ordered")
        .with("pool", pool)
        .with("member", record.member())
        .with("generation", record.number())
        .with("reason", reason)
        .with("outcome", outcome)
        .write();
    return switch (outcome) {
      case PromotionService.Outcome.Accepted ignored -> OrderResult.ACCEPTED;
      case PromotionService.Outcome.Refused ignored -> OrderResult.REFUSED;
      case PromotionService.Outcome.Unknown ignored -> OrderResult.UNKNOWN;
    };
  }

  /**
   * Records the intent under the next generation number.
   *
   * @param pool The pool.
   * @param member The identifier of the member that is to lead.
   * @return The record, or an empty optional if this proxy may not give the order.
   */
  private Optional<PromotionRecord> claim(String pool, String member) {
    for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      Seen known = seen.get(pool);
      if (known != null && !mayFollow(known)) {
        log.event("takeover-left")
            .with("pool", pool)
            .with("holder", known.record.holder())
            .with("generation", known.record.number())
            .write();
        return Optional.empty();
      }
      long revision = known == null ? 0 : known.revision;
      long number = known == null ? 1 : known.record.number() + 1;
      PromotionRecord record = new PromotionRecord(name, number, member, clock.millis());
      switch (records.writeIfUnchanged(pool, revision, record)) {
        case PromotionRecordStore.Claim.Written written -> {
          seen.put(pool, new Seen(record, written.revision(), steady.getAsLong()));
          return Optional.of(record);
        }
        case PromotionRecordStore.Claim.Conflict conflict ->
            seen.put(pool, new Seen(conflict.present(), conflict.revision(), steady.getAsLong()));
        case PromotionRecordStore.Claim.Unknown unknown -> {
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
   * Checks if this proxy may give the next order after a recorded one.
   *
   * @param known The record that was seen last.
   * @return {@code true} if the order is its own or its tenure is over.
   */
  private boolean mayFollow(Seen known) {
    if (known.record.holder().equals(name)) {
      return true;
    }
    long age = Math.abs(clock.millis() - known.record.orderedMillis());
    return age > SURELY_OLD.toMillis() || steady.getAsLong() - known.since > TENURE.toNanos();
  }

  /** The result of an order. */
  public enum OrderResult {
    /** The member leads soon. */
    ACCEPTED,
    /** The order has no effect. */
    REFUSED,
    /** The order may be carried out later. */
    UNKNOWN,
    /** Another proxy holds the duty, or the record could not be written. */
    NOT_HOLDER
  }

  /** Runs orders on the thread of the duty. */
  private static final class Runner implements Duty.Handler<Runnable> {

    @Override
    public void onEvent(Runnable event) {
      event.run();
    }

    @Override
    public void onTick() {
      // Orders are given on demand only.
    }
  }

  /**
   * A record that was seen.
   *
   * @param record The record.
   * @param revision Its revision.
   * @param since The reading of the steady clock when it was first seen, in nanoseconds.
   */
  private record Seen(PromotionRecord record, long revision, long since) {}
}
