package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import org.junit.jupiter.api.Test;

/** Tests of {@link PromotionQuorum}. */
class PromotionQuorumTest {

  private static final int MAX_REPLICAS = 6;

  @Test
  void requiresReportOfAllReplicasIfOneConfirms() {
    assertThat(new PromotionQuorum(2, 1).requiredReports()).isEqualTo(2);
  }

  @Test
  void requiresNoReportIfNoneConfirms() {
    assertThat(new PromotionQuorum(2, 0).isReachedBy(0)).isTrue();
  }

  @Test
  void requiresOneReportIfMoreConfirmThanThereAre() {
    assertThat(new PromotionQuorum(1, 3).requiredReports()).isEqualTo(1);
  }

  @Test
  void sharesReplicaWithEachGroupThatConfirmed() {
    for (int replicas = 1; replicas <= MAX_REPLICAS; replicas++) {
      for (int confirming = 1; confirming <= replicas; confirming++) {
        int required = new PromotionQuorum(replicas, confirming).requiredReports();
        assertThat(everyPairOfGroupsIntersects(replicas, confirming, required)).isTrue();
        assertThat(everyPairOfGroupsIntersects(replicas, confirming, required - 1)).isFalse();
      }
    }
  }

  private static boolean everyPairOfGroupsIntersects(int replicas, int confirming, int reporting) {
    for (long first = 0; first < 1L << replicas; first++) {
      for (long second = 0; second < 1L << replicas; second++) {
        BitSet group = BitSet.valueOf(new long[] {first});
        BitSet other = BitSet.valueOf(new long[] {second});
        boolean sized = group.cardinality() == confirming && other.cardinality() == reporting;
        if (sized && !group.intersects(other)) {
          return false;
        }
      }
    }
    return true;
  }
}
