package org.hickoryshed.decision.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs random histories. They must find no violation of consistency under the production rules, and
 * at least one under each set of faulty rules. {@code -Dseeds=N} sets the number of histories.
 */
class RandomHistoryTest {

  private static final int LENGTH = 600;
  private static final long SEEDS = Long.getLong("seeds", 4_000);
  private static final int MIN_ACKNOWLEDGED_WRITES = 10_000;

  @Test
  void findsNoViolationUnderProductionRules() {
    Optional<String> violation = firstViolation(DecisionRules.PRODUCTION);

    assertThat(violation).isEmpty();
  }

  @Test
  void historiesAcknowledgeWrites() {
    long acknowledged =
        LongStream.range(0, SEEDS)
            .map(
                seed -> {
                  RandomHistory history = new RandomHistory(DecisionRules.PRODUCTION, seed);
                  history.run(LENGTH);
                  return history.acknowledgedWrites();
                })
            .sum();

    assertThat(acknowledged).isGreaterThan(MIN_ACKNOWLEDGED_WRITES);
  }

  @Test
  void detectsAcknowledgementByPrimaryAlone() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.acknowledgingAtOnce())).isPresent();
  }

  @Test
  void detectsConfirmationWithoutTerm() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.confirmingWithoutTerm())).isPresent();
  }

  @Test
  void detectsConfirmationByLogTerm() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.confirmingByLogTerm())).isPresent();
  }

  @Test
  void detectsLexicographicCover() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.coveringLexicographically())).isPresent();
  }

  @Test
  void detectsCoverByGrantedTerm() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.coveringByGrantedTerm())).isPresent();
  }

  @Test
  void detectsPromotionOfLongestLog() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.choosingLongestLog())).isPresent();
  }

  @Test
  void detectsPromotionWithoutMajority() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.choosingWithoutMajority())).isPresent();
  }

  @Test
  void detectsBarrierOfPrimaryAlone() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.trustingPrimaryForBarrier())).isPresent();
  }

  @Test
  void detectsBarrierOfStaleStatuses() {
    assertThat(firstViolation(DecisionRules.PRODUCTION.usingStaleStatusesForBarrier())).isPresent();
  }

  private static Optional<String> firstViolation(DecisionRules rules) {
    return LongStream.range(0, SEEDS)
        .mapToObj(
            seed ->
                new RandomHistory(rules, seed)
                    .run(LENGTH)
                    .map(violation -> "seed " + seed + ": " + violation))
        .flatMap(Optional::stream)
        .findFirst();
  }
}
