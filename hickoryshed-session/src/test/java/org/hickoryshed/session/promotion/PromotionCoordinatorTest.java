package org.hickoryshed.session.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.promotion.PromotionCoordinator.OrderResult;
import org.junit.jupiter.api.Test;

/** Tests of the orders that replace primaries, with a fake store and a fake platform. */
class PromotionCoordinatorTest {

  private static final String POOL = "orders";

  private final FakeRecords records = new FakeRecords();
  private final FakePromotions promotions = new FakePromotions();
  private long millis = 1_000_000;

  private final PromotionCoordinator first = orders("first");
  private final PromotionCoordinator second = orders("second");

  @Test
  void recordsTheIntentBeforeTheOrder() {
    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.ACCEPTED);
    assertThat(records.present.get(POOL)).isEqualTo(promotions.orders.get(0));
  }

  @Test
  void givesNoOrderWithoutItsRecord() {
    records.answerIsLost = true;

    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.NOT_HOLDER);
    assertThat(promotions.orders).isEmpty();
  }

  @Test
  void takesFreshNumberForEachOrder() {
    first.orderNow(POOL, "m2", "test", () -> {});
    first.orderNow(POOL, "m3", "test", () -> {});

    assertThat(numbers()).containsExactly(1L, 2L);
  }

  @Test
  void takesFreshNumberAfterOrderWithoutAnswer() {
    promotions.outcome = new PromotionService.Outcome.Unknown("lost");
    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.UNKNOWN);
    first.orderNow(POOL, "m2", "test", () -> {});

    assertThat(numbers()).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
  }

  @Test
  void ordersAgainAtOnceWhenAnswerIsMissing() {
    promotions.unanswered = 2;

    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.ACCEPTED);
    assertThat(numbers()).containsExactly(1L, 2L, 3L);
    assertThat(records.present.get(POOL).number()).isEqualTo(3);
  }

  @Test
  void stopsOrderingWhenAnotherProxyTookTheDuty() {
    promotions.outcome = new PromotionService.Outcome.Unknown("lost");
    promotions.afterOrder =
        () -> {
          records.present.put(POOL, new PromotionRecord("second", 9, "m3", millis));
          records.revisions.merge(POOL, 1L, Long::sum);
        };

    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.UNKNOWN);
    assertThat(numbers()).containsExactly(1L);
  }

  @Test
  void takesFreshNumberAfterRefusal() {
    promotions.outcome = new PromotionService.Outcome.Refused("test");
    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.REFUSED);
    first.orderNow(POOL, "m3", "test", () -> {});

    assertThat(numbers()).containsExactly(1L, 2L);
  }

  @Test
  void takesFreshNumberWhenItsWriteWasCarriedOutWithoutAnswer() {
    records.answerIsLost = true;
    first.orderNow(POOL, "m2", "test", () -> {});
    records.answerIsLost = false;
    assertThat(first.orderNow(POOL, "m2", "test", () -> {})).isEqualTo(OrderResult.ACCEPTED);

    assertThat(numbers()).containsExactly(2L);
  }

  @Test
  void leavesTheDutyToTheHolderOfRecentOrder() {
    first.orderNow(POOL, "m2", "test", () -> {});

    assertThat(second.orderNow(POOL, "m3", "test", () -> {})).isEqualTo(OrderResult.NOT_HOLDER);
    assertThat(numbers()).containsExactly(1L);
  }

  @Test
  void takesTheDutyOverOnceTheTenureIsOver() {
    first.orderNow(POOL, "m2", "test", () -> {});
    assertThat(second.orderNow(POOL, "m3", "test", () -> {})).isEqualTo(OrderResult.NOT_HOLDER);
    millis += 4_001;

    assertThat(second.orderNow(POOL, "m3", "test", () -> {})).isEqualTo(OrderResult.ACCEPTED);
    assertThat(numbers()).containsExactly(1L, 2L);
  }

  @Test
  void neverRepeatsNumberWhenTwoProxiesRace() {
    first.orderNow(POOL, "m2", "test", () -> {});
    millis += 60_000;
    records.beforeWrite = () -> second.orderNow(POOL, "m3", "race", () -> {});
    first.orderNow(POOL, "m3", "test", () -> {});

    assertThat(numbers()).doesNotHaveDuplicates();
  }

  /** Returns the generation numbers of the orders that were given. */
  private List<Long> numbers() {
    return promotions.orders.stream().map(PromotionRecord::number).toList();
  }

  /** Creates the duty of one proxy. */
  private PromotionCoordinator orders(String name) {
    return new PromotionCoordinator(
        name,
        records,
        promotions,
        () -> Instant.ofEpochMilli(millis),
        () -> millis * 1_000_000,
        new EventLog(name, "boot", OutputStream.nullOutputStream()));
  }

  /** Records in memory. */
  private static final class FakeRecords implements PromotionRecordStore {

    private final Map<String, PromotionRecord> present = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private boolean answerIsLost;
    private Runnable beforeWrite = () -> {};

    @Override
    public Claim writeIfUnchanged(String pool, long revision, PromotionRecord record) {
      Runnable other = beforeWrite;
      beforeWrite = () -> {};
      other.run();
      long standing = revisions.getOrDefault(pool, 0L);
      if (revision != standing) {
        return new Claim.Conflict(present.get(pool), standing);
      }
      present.put(pool, record);
      revisions.put(pool, standing + 1);
      return answerIsLost ? new Claim.Unknown("lost") : new Claim.Written(standing + 1);
    }
  }

  /** A platform that notes its orders. */
  private static final class FakePromotions implements PromotionService {

    private final List<PromotionRecord> orders = new ArrayList<>();
    private Outcome outcome = new Outcome.Accepted();
    private Runnable afterOrder = () -> {};
    private int unanswered;

    @Override
    public Outcome promote(String pool, PromotionRecord record, Duration timeout) {
      orders.add(record);
      afterOrder.run();
      return unanswered-- > 0 ? new Outcome.Unknown("lost") : outcome;
    }
  }
}
