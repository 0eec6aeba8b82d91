package org.hickoryshed.kernel.json;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which values the filter replaces and that it changes nothing else. */
class JsonExcessFilterTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{}",
        "[1,-2.5e+3,true,false,null]",
        "{\"a\\\"[{\":\"]}\\\\\",\"b\":[{\"c\":\"99999999999999999999999999999999999999999999\"}]}",
        " [ 1 , \"two\" ]\n",
        "[\"open"
      })
  void keepsWhatIsNotInExcess(String text) {
    assertThat(filter(text)).isEqualTo(text);
  }

  @Test
  void replacesDeepNesting() {
    String deep = "[".repeat(40) + "\"a\",1,{}" + "]".repeat(40);

    assertThat(filter("{\"deep\":" + deep + ",\"next\":[1,2]}"))
        .isEqualTo("{\"deep\":" + "[".repeat(31) + "null" + "]".repeat(31) + ",\"next\":[1,2]}");
  }

  @ParameterizedTest
  @ValueSource(strings = {"NaN", "-Infinity", "-", "1e", "01", "0x1F", "1.2.3", "True"})
  void replacesMalformedNumber(String number) {
    assertThat(filter("{\"n\":" + number + ",\"next\":1}")).isEqualTo("{\"n\":null,\"next\":1}");
  }

  @Test
  void replacesLongNumber() {
    assertThat(filter("[" + "9".repeat(100_000) + ",1]")).isEqualTo("[null,1]");
  }

  private static String filter(String text) {
    return new String(
        JsonExcessFilter.filter(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }
}
