package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickoryshed.decision.directory.MemberEntry;
import org.junit.jupiter.api.Test;

/** Tests of {@link DepartedReplicas}. */
class DepartedReplicasTest {

  private final DepartedReplicas departed = new DepartedReplicas();

  @Test
  void countsReplicaUntilItIsBack() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordDeparture(replica("b", 1), 11);
    departed.recordReturn(replica("a", 1));
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void countsReplicaThatRestarted() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordReturn(replica("a", 2));
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void forgetsReplicaAfterCommitThatWasSentLater() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordDeparture(replica("b", 1), 20);
    departed.recordCommit(15);
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void countsReplicaAfterCommitThatWasSentBefore() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordCommit(10);
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void forgetsAllReplicasAfterPromotion() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordPromotion();
    assertThat(departed.count()).isZero();
  }

  private static MemberEntry replica(String id, long bornMillis) {
    return new MemberEntry(id, "orders", "127.0.0.1:1", "a", 2, false, false, bornMillis, 1);
  }
}
