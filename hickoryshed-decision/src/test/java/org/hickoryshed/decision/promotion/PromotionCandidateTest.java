package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hickoryshed.decision.topology.LogPosition;
import org.junit.jupiter.api.Test;

/** Tests of {@link PromotionCandidate}. */
class PromotionCandidateTest {

  @Test
  void prefersHighestIndex() {
    assertThat(chosen(of("far", 4, 20, true, 8), of("near", 4, 19, true, 0))).isEqualTo("far");
  }

  @Test
  void comparesTermBeforeIndex() {
    assertThat(chosen(of("old", 3, 99, true, 0), of("new", 4, 5, true, 0))).isEqualTo("new");
  }

  @Test
  void prefersLowestLatencyAmongEqualLogs() {
    assertThat(chosen(of("far", 4, 20, true, 8), of("near", 4, 20, true, 0))).isEqualTo("near");
  }

  @Test
  void choosesLeavingMemberOnlyIfItIsAlone() {
    assertThat(chosen(of("leaving", 4, 20, false, 0), of("staying", 4, 19, true, 8)))
        .isEqualTo("staying");
    assertThat(chosen(of("leaving", 4, 20, false, 0))).isEqualTo("leaving");
  }

  @Test
  void choosesLeavingMemberIfItAloneHasTheLatestLog() {
    List<PromotionCandidate> candidates =
        List.of(of("leaving", 4, 20, false, 0), of("staying", 4, 19, true, 8));
    assertThat(PromotionCandidate.chooseWithLatestLog(candidates))
        .map(PromotionCandidate::member)
        .contains("leaving");
  }

  @Test
  void choosesNoneWithoutCandidates() {
    assertThat(PromotionCandidate.choose(List.of())).isEmpty();
    assertThat(PromotionCandidate.chooseWithLatestLog(List.of())).isEmpty();
  }

  private static PromotionCandidate of(
      String member, long term, long index, boolean notLeaving, long oneWayMillis) {
    return new PromotionCandidate(member, new LogPosition(term, index), notLeaving, oneWayMillis);
  }

  private static String chosen(PromotionCandidate... candidates) {
    return PromotionCandidate.choose(List.of(candidates)).orElseThrow().member();
  }
}
