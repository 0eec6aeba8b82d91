package org.hickoryshed.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests of {@link StoreWatchMode}. */
class StoreWatchModeTest {

  private static final int MANY = 12;
  private static final int FEW = 3;

  @Test
  void watchesIfNoOtherProxyDoes() {
    assertThat(modesOf(proxies(MANY, StoreWatchState.RESTING)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  @Test
  void watchesOnFewOfManyProxies() {
    Map<String, StoreWatchMode> modes = modesOf(proxies(MANY, StoreWatchState.WATCHING));
    assertThat(proxiesInMode(modes, StoreWatchMode.WATCH)).hasSize(FEW);
    assertThat(proxiesInMode(modes, StoreWatchMode.REST)).hasSize(MANY - FEW);
  }

  @Test
  void watchesOnAllOfFewProxies() {
    assertThat(modesOf(proxies(FEW, StoreWatchState.WATCHING)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  @Test
  void choosesSameWatchersAgain() {
    Map<String, StoreWatchState> settled = settle(proxies(MANY, StoreWatchState.WATCHING));
    assertThat(settle(settled)).isEqualTo(settled);
  }

  @Test
  void replacesWatcherThatIsGone() {
    Map<String, StoreWatchState> settled = settle(proxies(MANY, StoreWatchState.WATCHING));
    settled.remove(proxiesInMode(modesOf(settled), StoreWatchMode.WATCH).get(0));
    assertThat(proxiesInMode(modesOf(settled), StoreWatchMode.WATCH)).hasSize(FEW);
  }

  @Test
  void replacesWatcherThatIsCutOffAndLetsItTrySeldom() {
    Map<String, StoreWatchState> settled = settle(proxies(MANY, StoreWatchState.WATCHING));
    String cutOff = proxiesInMode(modesOf(settled), StoreWatchMode.WATCH).get(0);
    settled.put(cutOff, StoreWatchState.CUT_OFF);
    Map<String, StoreWatchMode> modes = modesOf(settled);
    assertThat(proxiesInMode(modes, StoreWatchMode.WATCH)).hasSize(FEW).doesNotContain(cutOff);
    assertThat(modes.get(cutOff)).isEqualTo(StoreWatchMode.TRY_SELDOM);
  }

  @Test
  void retriesOnAllProxiesWhileStoreIsDown() {
    assertThat(modesOf(proxies(MANY, StoreWatchState.CUT_OFF)).values())
        .containsOnly(StoreWatchMode.WATCH);
  }

  /** Returns the watch states of the proxies once all have applied their modes. */
  private static Map<String, StoreWatchState> settle(Map<String, StoreWatchState> before) {
    Map<String, StoreWatchState> after = new TreeMap<>();
    modesOf(before)
        .forEach(
            (name, mode) ->
                after.put(
                    name,
                    mode == StoreWatchMode.REST
                        ? StoreWatchState.RESTING
                        : StoreWatchState.WATCHING));
    return after;
  }

  private static Map<String, StoreWatchMode> modesOf(Map<String, StoreWatchState> proxies) {
    Map<String, StoreWatchMode> modes = new TreeMap<>();
    proxies.forEach(
        (name, state) -> {
          Map<String, StoreWatchState> others = new HashMap<>(proxies);
          others.remove(name);
          modes.put(name, StoreWatchMode.of(name, state, others));
        });
    return modes;
  }

  private static List<String> proxiesInMode(
      Map<String, StoreWatchMode> modes, StoreWatchMode mode) {
    return modes.keySet().stream().filter(name -> modes.get(name) == mode).toList();
  }

  private static Map<String, StoreWatchState> proxies(int count, StoreWatchState state) {
    Map<String, StoreWatchState> proxies = new TreeMap<>();
    for (int number = 0; number < count; number++) {
      proxies.put("proxy-" + number, state);
    }
    return proxies;
  }
}
