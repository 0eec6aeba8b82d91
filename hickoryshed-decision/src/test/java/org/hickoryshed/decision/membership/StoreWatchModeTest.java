package org.hickoryshed.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests of the duty to watch the store. */
class StoreWatchModeTest {

  private static final int MANY = 12;
  private static final int FEW = 3;

  @Test
  void watchesWhereverNobodyElseDoes() {
    assertThat(dutiesOf(names(MANY, StoreWatchState.RESTING)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  @Test
  void leavesTheStoreToAFewOfMany() {
    Map<String, StoreWatchMode> duties = dutiesOf(names(MANY, StoreWatchState.WATCHING));
    assertThat(having(duties, StoreWatchMode.WATCH)).hasSize(FEW);
    assertThat(having(duties, StoreWatchMode.REST)).hasSize(MANY - FEW);
  }

  @Test
  void choosesAllOfAFew() {
    assertThat(dutiesOf(names(FEW, StoreWatchState.WATCHING)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  @Test
  void staysWithItsChoice() {
    Map<String, StoreWatchState> settled = settle(names(MANY, StoreWatchState.WATCHING));
    assertThat(settle(settled)).isEqualTo(settled);
  }

  @Test
  void replacesOneThatIsGone() {
    Map<String, StoreWatchState> settled = settle(names(MANY, StoreWatchState.WATCHING));
    settled.remove(having(dutiesOf(settled), StoreWatchMode.WATCH).get(0));
    assertThat(having(dutiesOf(settled), StoreWatchMode.WATCH)).hasSize(FEW);
  }

  @Test
  void replacesOneThatTheStoreTurnsAwayAndLetsItTrySeldom() {
    Map<String, StoreWatchState> settled = settle(names(MANY, StoreWatchState.WATCHING));
    String turnedAway = having(dutiesOf(settled), StoreWatchMode.WATCH).get(0);
    settled.put(turnedAway, StoreWatchState.CUT_OFF);
    Map<String, StoreWatchMode> duties = dutiesOf(settled);
    assertThat(having(duties, StoreWatchMode.WATCH)).hasSize(FEW).doesNotContain(turnedAway);
    assertThat(duties.get(turnedAway)).isEqualTo(StoreWatchMode.TRY_SELDOM);
  }

  @Test
  void triesEverywhereWhileTheStoreIsDown() {
    assertThat(dutiesOf(names(MANY, StoreWatchState.CUT_OFF)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  /** Returns what the proxies know of the store once they have followed their duties. */
  private static Map<String, StoreWatchState> settle(Map<String, StoreWatchState> before) {
    Map<String, StoreWatchState> after = new TreeMap<>();
    dutiesOf(before)
        .forEach(
            (name, duty) ->
                after.put(
                    name,
                    duty == StoreWatchMode.REST
                        ? StoreWatchState.RESTING
                        : StoreWatchState.WATCHING));
    return after;
  }

  private static Map<String, StoreWatchMode> dutiesOf(Map<String, StoreWatchState> proxies) {
    Map<String, StoreWatchMode> duties = new TreeMap<>();
    proxies.forEach(
        (name, access) -> {
          Map<String, StoreWatchState> others = new HashMap<>(proxies);
          others.remove(name);
          duties.put(name, StoreWatchMode.of(name, access, others));
        });
    return duties;
  }

  private static List<String> having(Map<String, StoreWatchMode> duties, StoreWatchMode duty) {
    return duties.keySet().stream().filter(name -> duties.get(name) == duty).toList();
  }

  private static Map<String, StoreWatchState> names(int count, StoreWatchState access) {
    Map<String, StoreWatchState> proxies = new TreeMap<>();
    for (int number = 0; number < count; number++) {
      proxies.put("proxy-" + number, access);
    }
    return proxies;
  }
}
