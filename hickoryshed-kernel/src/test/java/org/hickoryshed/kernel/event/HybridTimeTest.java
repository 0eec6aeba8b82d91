package org.hickoryshed.kernel.event;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link HybridTime}. */
class HybridTimeTest {

  private static final HybridTime EARLY = new HybridTime(100, 0);
  private static final HybridTime LATE = new HybridTime(200, 4);

  @Test
  void takesWallClockThatIsAheadOfBothTimes() {
    assertThat(EARLY.next(LATE, 300)).isEqualTo(new HybridTime(300, 0));
  }

  @Test
  void isLaterThanTimeOfProcessWhoseClockIsAhead() {
    assertThat(EARLY.next(LATE, 150)).isEqualTo(new HybridTime(200, 5));
  }

  @Test
  void advancesAlthoughWallClockWasSetBack() {
    assertThat(LATE.next(LATE, 50)).isGreaterThan(LATE);
  }
}
