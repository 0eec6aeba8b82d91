package org.hickoryshed.session.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link StoredPromotions}. */
class StoredPromotionsTest {

  private static final long NOW = 1_000_000;

  private final List<String> reported = new ArrayList<>();

  private final StoredPromotions stored =
      new StoredPromotions(
          "p1", Runnable::run, () -> NOW, (holder, pool, member) -> reported.add(pool));

  @Test
  void reportsEachGenerationOnce() {
    stored.onChanged("orders", record("p2", 3, 0));
    stored.onChanged("orders", record("p2", 3, 0));
    stored.onListed("orders", record("p2", 4, 0));
    stored.onListed("orders", record("p2", 4, 0));
    assertThat(reported).containsExactly("orders", "orders");
  }

  /** Guards against a pause without a reason at each start of a proxy. */
  @Test
  void reportsRecordThatIsListedFirstOnlyIfItIsYoung() {
    stored.onListed("orders", record("p2", 3, NOW - 60_000));
    stored.onListed("stock", record("p2", 3, NOW - 100));
    stored.onListed("sales", record("p2", 3, NOW + 100));
    assertThat(reported).containsExactly("stock", "sales");
  }

  @Test
  void reportsNoOwnRecord() {
    stored.onChanged("orders", record("p1", 3, NOW));
    assertThat(reported).isEmpty();
    stored.onChanged("orders", record("p2", 4, NOW));
    assertThat(reported).containsExactly("orders");
  }

  private static PromotionRecord record(String holder, long generation, long recordedMillis) {
    return new PromotionRecord(holder, generation, "m2", recordedMillis);
  }
}
