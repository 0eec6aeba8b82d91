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
    departed.recordRegistration(replica("a", 1));
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void countsReplicaThatRestarted() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordRegistration(replica("a", 2));
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

  /** Guards against a promotion while the log of a replica is on its way to the successor. */
  @Test
  void countsReplicaThatAnnouncedItsEndUntilItsSuccessorIsRegistered() {
    departed.recordDeparture(leaving("a", "127.0.0.1:1"), 10);
    departed.recordRegistration(leaving("b", "127.0.0.1:2"));
    assertThat(departed.count()).isEqualTo(1);

    departed.recordRegistration(replica("c", 2));
    assertThat(departed.count()).isZero();
  }

  @Test
  void countsReplicaThatAnnouncedItsEndAndRestartedWithoutItsLog() {
    departed.recordDeparture(leaving("a", "127.0.0.1:1"), 10);
    departed.recordRegistration(replica("a", 2));
    assertThat(departed.count()).isEqualTo(1);
  }

  @Test
  void countsReplicaThatCrashedWhenAnotherOneIsAtItsAddress() {
    departed.recordDeparture(replica("a", 1), 10);
    departed.recordRegistration(replica("b", 2));
    assertThat(departed.count()).isEqualTo(1);
  }

  private static MemberEntry replica(String id, long bornMillis) {
    return new MemberEntry(id, "orders", "127.0.0.1:1", "a", 2, false, false, bornMillis, 1);
  }

  private static MemberEntry leaving(String id, String address) {
    return new MemberEntry(id, "orders", address, "a", 2, true, false, 1, 1);
  }
}
