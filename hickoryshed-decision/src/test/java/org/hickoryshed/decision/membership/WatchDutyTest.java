package org.hickoryshed.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests of the duty to watch the store. */
class WatchDutyTest {

  private static final int MANY = 12;
  private static final int FEW = 3;

  @Test
  void watchesWhereverNobodyElseDoes() {
    assertThat(dutiesOf(names(MANY, StoreAccess.RESTING)).values()).containsOnly(WatchDuty.WATCH);
  }

  @Test
  void leavesTheStoreToAFewOfMany() {
    Map<String, WatchDuty> duties = dutiesOf(names(MANY, StoreAccess.WATCHING));
    assertThat(having(duties, WatchDuty.WATCH)).hasSize(FEW);
    assertThat(having(duties, WatchDuty.REST)).hasSize(MANY - FEW);
  }

  @Test
  void choosesAllOfAFew() {
    assertThat(dutiesOf(names(FEW, StoreAccess.WATCHING)).values()).containsOnly(WatchDuty.WATCH);
  }

  @Test
  void staysWithItsChoice() {
    Map<String, StoreAccess> settled = settle(names(MANY, StoreAccess.WATCHING));
    assertThat(settle(settled)).isEqualTo(settled);
  }

  @Test
  void replacesOneThatIsGone() {
    Map<String, StoreAccess> settled = settle(names(MANY, StoreAccess.WATCHING));
    settled.remove(having(dutiesOf(settled), WatchDuty.WATCH).get(0));
    assertThat(having(dutiesOf(settled), WatchDuty.WATCH)).hasSize(FEW);
  }

  @Test
  void replacesOneThatTheStoreTurnsAwayAndLetsItTrySeldom() {
    Map<String, StoreAccess> settled = settle(names(MANY, StoreAccess.WATCHING));
    String turnedAway = having(dutiesOf(settled), WatchDuty.WATCH).get(0);
    settled.put(turnedAway, StoreAccess.CUT_OFF);
    Map<String, WatchDuty> duties = dutiesOf(settled);
    assertThat(having(duties, WatchDuty.WATCH)).hasSize(FEW).doesNotContain(turnedAway);
    assertThat(duties.get(turnedAway)).isEqualTo(WatchDuty.TRY_SELDOM);
  }

  @Test
  void triesEverywhereWhileTheStoreIsDown() {
    assertThat(dutiesOf(names(MANY, StoreAccess.CUT_OFF)).values()).containsOnly(WatchDuty.WATCH);
  }

  /** Returns what the proxies know of the store once they have followed their duties. */
  private static Map<String, StoreAccess> settle(Map<String, StoreAccess> before) {
    Map<String, StoreAccess> after = new TreeMap<>();
    dutiesOf(before)
        .forEach(
            (name, duty) ->
                after.put(
                    name, duty == WatchDuty.REST ? StoreAccess.RESTING : StoreAccess.WATCHING));
    return after;
  }

  private static Map<String, WatchDuty> dutiesOf(Map<String, StoreAccess> proxies) {
    Map<String, WatchDuty> duties = new TreeMap<>();
    proxies.forEach(
        (name, access) -> {
          Map<String, StoreAccess> others = new HashMap<>(proxies);
          others.remove(name);
          duties.put(name, WatchDuty.of(name, access, others));
        });
    return duties;
  }

  private static List<String> having(Map<String, WatchDuty> duties, WatchDuty duty) {
    return duties.keySet().stream().filter(name -> duties.get(name) == duty).toList();
  }

  private static Map<String, StoreAccess> names(int count, StoreAccess access) {
    Map<String, StoreAccess> proxies = new TreeMap<>();
    for (int number = 0; number < count; number++) {
      proxies.put("proxy-" + number, access);
    }
    return proxies;
  }
}
