package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickoryshed.decision.topology.LogPosition;
import org.junit.jupiter.api.Test;

/** Tests of {@link PromotionCatchUp}. */
class PromotionCatchUpTest {

  private final PromotionCatchUp.Builder logs = PromotionCatchUp.builder(new PromotionQuorum(2, 1));

  @Test
  void acceptsReplicaWithTheLogOfThePrimary() {
    logs.addPrimary(end(3, 20)).addReplica("a", end(3, 20)).addReplica("b", end(3, 19));
    assertThat(logs.build().holdsAllCommits("a")).isTrue();
  }

  @Test
  void rejectsReplicaBehindThePrimary() {
    logs.addPrimary(end(3, 21)).addReplica("a", end(3, 20)).addReplica("b", end(3, 19));
    assertThat(logs.build().holdsAllCommits("a")).isFalse();
  }

  @Test
  void rejectsReplicaBehindAnotherOneIfThePrimaryIsSilent() {
    logs.addReplica("a", end(3, 20)).addReplica("b", end(3, 21));
    assertThat(logs.build().holdsAllCommits("a")).isFalse();
    assertThat(logs.build().holdsAllCommits("b")).isTrue();
  }

  @Test
  void rejectsLongerLogOfAnEarlierTerm() {
    logs.addReplica("a", end(2, 30)).addReplica("b", end(3, 20));
    assertThat(logs.build().holdsAllCommits("a")).isFalse();
  }

  @Test
  void rejectsReplicaWhileTooFewReported() {
    logs.addReplica("a", end(3, 20));
    assertThat(logs.build().holdsAllCommits("a")).isFalse();
  }

  @Test
  void rejectsReplicaThatDidNotReport() {
    logs.addReplica("a", end(3, 20)).addReplica("b", end(3, 20));
    assertThat(logs.build().holdsAllCommits("c")).isFalse();
  }

  /** Guards against waiting for commits that a proxy which hears of no promotion goes on with. */
  @Test
  void acceptsReplicaBehindThePrimaryIfTheOthersArePaused() {
    logs.addPrimary(end(3, 25)).addReplica("a", end(3, 20)).addPausedReplica("b", end(3, 19));
    assertThat(logs.build().holdsAllCommits("a")).isTrue();
    assertThat(logs.build().holdsAllCommits("b")).isFalse();
  }

  @Test
  void rejectsReplicaBehindPausedOne() {
    logs.addReplica("a", end(3, 20)).addPausedReplica("b", end(3, 21));
    assertThat(logs.build().holdsAllCommits("a")).isFalse();
  }

  private static LogPosition end(long term, long index) {
    return new LogPosition(term, index);
  }
}
