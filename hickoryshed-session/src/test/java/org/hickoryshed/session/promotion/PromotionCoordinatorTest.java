package org.hickoryshed.session.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.promotion.PromotionCoordinator.PromotionResult;
import org.junit.jupiter.api.Test;

/**
 * Tests which promotions a coordinator requests, and under which generation numbers, with a record
 * store and a promotion service in memory.
 */
class PromotionCoordinatorTest {

  private static final String POOL = "orders";

  private final FakeRecords records = new FakeRecords();
  private final FakePromotions promotions = new FakePromotions();
  private long millis = 1_000_000;
  private long clockStepMillis;

  private final PromotionCoordinator first = coordinator("first");
  private final PromotionCoordinator second = coordinator("second");

  @Test
  void recordsIntentBeforeRequestingPromotion() {
    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
    assertThat(records.records.get(POOL)).isEqualTo(promotions.requests.get(0));
  }

  @Test
  void requestsNoPromotionWithoutRecord() {
    records.responseIsLost = true;

    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
    assertThat(promotions.requests).isEmpty();
  }

  @Test
  void usesNewGenerationForEachPromotion() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    first.promoteNow(POOL, "m3", "test", () -> true, () -> {});

    assertThat(generations()).containsExactly(1L, 2L);
  }

  @Test
  void usesNewGenerationAfterRequestWithoutResponse() {
    promotions.outcome = new PromotionService.Outcome.Unknown("lost");
    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.UNKNOWN);
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});

    assertThat(generations()).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
  }

  @Test
  void repeatsRequestAtOnceWithoutResponse() {
    promotions.lostResponses = 2;

    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
    assertThat(generations()).containsExactly(1L, 2L, 3L);
    assertThat(records.records.get(POOL).generation()).isEqualTo(3);
  }

  @Test
  void stopsRepeatingWhenAnotherProxyRecordsPromotion() {
    promotions.outcome = new PromotionService.Outcome.Unknown("lost");
    promotions.afterRequest =
        () -> {
          records.records.put(POOL, new PromotionRecord("second", 9, "m3", millis));
          records.revisions.merge(POOL, 1L, Long::sum);
        };

    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.UNKNOWN);
    assertThat(generations()).containsExactly(1L);
  }

  @Test
  void usesNewGenerationAfterRefusal() {
    promotions.outcome = new PromotionService.Outcome.Refused("test");
    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.REFUSED);
    first.promoteNow(POOL, "m3", "test", () -> true, () -> {});

    assertThat(generations()).containsExactly(1L, 2L);
  }

  @Test
  void usesNewGenerationWhenWriteSucceededWithoutResponse() {
    records.responseIsLost = true;
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    records.responseIsLost = false;
    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);

    assertThat(generations()).containsExactly(2L);
  }

  @Test
  void requestsNoPromotionSoonAfterAnotherProxy() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
    assertThat(generations()).containsExactly(1L);
  }

  @Test
  void requestsPromotionOnceExclusivePeriodOfAnotherProxyEnded() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
    millis += 4_001;

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
    assertThat(generations()).containsExactly(1L, 2L);
  }

  @Test
  void usesNoGenerationTwiceWhenTwoProxiesRace() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    millis += 60_000;
    records.beforeWrite = () -> second.promoteNow(POOL, "m3", "race", () -> true, () -> {});
    first.promoteNow(POOL, "m3", "test", () -> true, () -> {});

    assertThat(generations()).doesNotHaveDuplicates();
  }

  @Test
  void requestsNothingUnderRecordThatWasFollowedDuringPause() {
    records.afterWrite =
        () -> {
          millis += 20_000;
          second.promoteNow(POOL, "m3", "the holder is frozen", () -> true, () -> {});
        };

    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
    assertThat(generations()).containsExactly(2L);
  }

  @Test
  void requestsPromotionUnderNextGenerationAfterPause() {
    records.afterWrite = () -> millis += 20_000;

    assertThat(first.promoteNow(POOL, "m2", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
    assertThat(generations()).containsExactly(2L);
  }

  @Test
  void requestsNothingForMemberThatIsNotPrepared() {
    assertThat(first.promoteNow(POOL, "m2", "test", () -> false, () -> {}))
        .isEqualTo(PromotionResult.NOT_PREPARED);
    assertThat(promotions.requests).isEmpty();
  }

  @Test
  void requestsPromotionUnderNextGenerationAfterPauseOfPreparation() {
    AtomicInteger preparations = new AtomicInteger();
    BooleanSupplier preparation =
        () -> {
          millis += preparations.getAndIncrement() == 0 ? 20_000 : 0;
          return true;
        };

    assertThat(first.promoteNow(POOL, "m2", "test", preparation, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
    assertThat(generations()).containsExactly(2L);
  }

  @Test
  void requestsNoPromotionSoonAfterAnotherProxyWhenOwnClockJumps() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    clockStepMillis = 2_400_000;

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
  }

  @Test
  void requestsNoPromotionSoonAfterAnotherProxyWhoseClockJumped() {
    clockStepMillis = -2_400_000;
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    clockStepMillis = 0;

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
  }

  @Test
  void requestsNoPromotionSoonAfterAnnouncementWhateverTheRecordSays() {
    clockStepMillis = -2_400_000;
    coordinator("started with a wrong clock").promoteNow(POOL, "m2", "test", () -> true, () -> {});
    clockStepMillis = 0;
    second.onPromotionAnnounced(POOL);

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.NOT_HOLDER);
  }

  @Test
  void requestsPromotionAfterOldRecordThatItReadsForTheFirstTime() {
    first.promoteNow(POOL, "m2", "test", () -> true, () -> {});
    millis += 10_001;

    assertThat(second.promoteNow(POOL, "m3", "test", () -> true, () -> {}))
        .isEqualTo(PromotionResult.ACCEPTED);
  }

  /** Returns the generation numbers of the requested promotions, in order. */
  private List<Long> generations() {
    return promotions.requests.stream().map(PromotionRecord::generation).toList();
  }

  /**
   * Creates the coordinator of one proxy; both clocks read {@link #millis}, and the wall clock is
   * off by {@link #clockStepMillis}.
   */
  private PromotionCoordinator coordinator(String name) {
    return new PromotionCoordinator(
        name,
        records,
        promotions,
        () -> Instant.ofEpochMilli(millis + clockStepMillis),
        () -> millis * 1_000_000,
        new EventLog(name, "boot", OutputStream.nullOutputStream()));
  }

  /** A record store in memory that can lose its response after a write. */
  private static final class FakeRecords implements PromotionRecordStore {

    private final Map<String, PromotionRecord> records = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private boolean responseIsLost;
    private Runnable beforeWrite = () -> {};

    /** Runs once after the next write, before its response. */
    private Runnable afterWrite = () -> {};

    @Override
    public WriteOutcome writeIfUnchanged(String pool, long revision, PromotionRecord record) {
      Runnable other = beforeWrite;
      beforeWrite = () -> {};
      other.run();
      long currentRevision = revisions.getOrDefault(pool, 0L);
      if (revision != currentRevision) {
        return new WriteOutcome.Conflict(records.get(pool), currentRevision);
      }
      records.put(pool, record);
      revisions.put(pool, currentRevision + 1);
      Runnable next = afterWrite;
      afterWrite = () -> {};
      next.run();
      return responseIsLost
          ? new WriteOutcome.Unknown("lost")
          : new WriteOutcome.Written(currentRevision + 1);
    }
  }

  /** A promotion service that records its requests and can fail to respond. */
  private static final class FakePromotions implements PromotionService {

    private final List<PromotionRecord> requests = new ArrayList<>();
    private Outcome outcome = new Outcome.Accepted();
    private Runnable afterRequest = () -> {};
    private int lostResponses;

    @Override
    public Outcome promote(String pool, PromotionRecord record, Duration timeout) {
      requests.add(record);
      afterRequest.run();
      return lostResponses-- > 0 ? new Outcome.Unknown("lost") : outcome;
    }
  }
}
