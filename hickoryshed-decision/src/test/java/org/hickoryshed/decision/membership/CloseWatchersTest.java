package org.hickoryshed.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests of the choice of proxies that renew their watches often. */
class CloseWatchersTest {

  private static final int MANY = 12;
  private static final int FEW = 3;

  @Test
  void choosesAFewOfMany() {
    assertThat(chosen(MANY)).hasSize(FEW);
  }

  @Test
  void choosesAllOfAFew() {
    assertThat(chosen(FEW)).hasSize(FEW);
  }

  @Test
  void replacesOneThatIsGone() {
    List<String> all = names(MANY);
    String gone = chosen(MANY).get(0);
    List<String> left = all.stream().filter(name -> !name.equals(gone)).toList();
    assertThat(left.stream().filter(name -> CloseWatchers.includes(name, without(left, name))))
        .hasSize(FEW);
  }

  private static List<String> chosen(int count) {
    List<String> all = names(count);
    return all.stream().filter(name -> CloseWatchers.includes(name, without(all, name))).toList();
  }

  private static List<String> without(List<String> all, String name) {
    return all.stream().filter(other -> !other.equals(name)).toList();
  }

  private static List<String> names(int count) {
    return IntStream.range(0, count).mapToObj(number -> "proxy-" + number).toList();
  }
}
