package org.hickoryshed.decision.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Checks random histories. The number of seeds is set by {@code -Dseeds=N}. */
class RandomHistoryTest {

  private static final int LENGTH = 600;
  private static final long SEEDS = Long.getLong("seeds", 4_000);
  private static final int ENOUGH_WRITES = 10_000;

  @Test
  void productHoldsInEachHistory() {
    Optional<String> violation = firstViolation(Policy.PRODUCT);

    assertThat(violation).isEmpty();
  }

  @Test
  void historiesAcknowledgeWrites() {
    long acknowledged =
        LongStream.range(0, SEEDS)
            .map(
                seed -> {
                  RandomHistory history = new RandomHistory(Policy.PRODUCT, seed);
                  history.run(LENGTH);
                  return history.acknowledgedWrites();
                })
            .sum();

    assertThat(acknowledged).isGreaterThan(ENOUGH_WRITES);
  }

  @Test
  void rejectsAcknowledgementByPrimaryAlone() {
    assertThat(firstViolation(Policy.PRODUCT.acknowledgingAtOnce())).isPresent();
  }

  @Test
  void rejectsConfirmationWithoutTerm() {
    assertThat(firstViolation(Policy.PRODUCT.confirmingWithoutTerm())).isPresent();
  }

  @Test
  void rejectsConfirmationByLogTerm() {
    assertThat(firstViolation(Policy.PRODUCT.confirmingByLogTerm())).isPresent();
  }

  @Test
  void rejectsLexicographicCover() {
    assertThat(firstViolation(Policy.PRODUCT.coveringLexicographically())).isPresent();
  }

  @Test
  void rejectsCoverByGrantedTerm() {
    assertThat(firstViolation(Policy.PRODUCT.coveringByGrantedTerm())).isPresent();
  }

  @Test
  void rejectsPromotionOfLongestLog() {
    assertThat(firstViolation(Policy.PRODUCT.choosingLongestLog())).isPresent();
  }

  @Test
  void rejectsPromotionWithoutMajority() {
    assertThat(firstViolation(Policy.PRODUCT.choosingWithoutMajority())).isPresent();
  }

  @Test
  void rejectsBarrierOfPrimaryAlone() {
    assertThat(firstViolation(Policy.PRODUCT.trustingPrimaryForBarrier())).isPresent();
  }

  @Test
  void rejectsBarrierOfStaleStatuses() {
    assertThat(firstViolation(Policy.PRODUCT.usingStaleStatusesForBarrier())).isPresent();
  }

  private static Optional<String> firstViolation(Policy policy) {
    return LongStream.range(0, SEEDS)
        .mapToObj(
            seed ->
                new RandomHistory(policy, seed)
                    .run(LENGTH)
                    .map(violation -> "seed " + seed + ": " + violation))
        .flatMap(Optional::stream)
        .findFirst();
  }
}
