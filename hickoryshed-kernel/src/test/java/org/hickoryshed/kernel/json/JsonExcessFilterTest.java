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

  /** Guards against a tree that takes many times the memory of its text. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[1,2,3,4,5,6,7,8,9,0,1,2]",
        "{\"a\":1,\"b\":2,\"c\":3,\"d\":4}",
        "\"a text of more than twenty characters\""
      })
  void replacesValueThatIsTooLong(String value) {
    JsonLimits limits = new JsonLimits(1, 20, 1);
    assertThat(filter("{\"n\":" + value + ",\"next\":[1]}", limits))
        .isEqualTo("{\"n\":null,\"next\":[1]}");
  }

  @Test
  void replacesNestedValuesBeforeTheyMakeTheOuterOneTooLong() {
    String nested = "[[" + "1,".repeat(100) + "1]]";
    assertThat(filter("{\"n\":{\"deep\":" + nested + ",\"a\":1}}", new JsonLimits(1, 24, 1)))
        .isEqualTo("{\"n\":{\"deep\":null,\"a\":1}}");
  }

  @Test
  void keepsLongValuesAboveTheDepthOfTheLimits() {
    String text = "{\"items\":[{\"a\":1},{\"b\":2},{\"c\":\"a name of a field\"}]}";
    assertThat(filter(text, new JsonLimits(3, 20, 1))).isEqualTo(text);
  }

  private static String filter(String text) {
    return filter(text, JsonLimits.NONE);
  }

  private static String filter(String text, JsonLimits limits) {
    return new String(
        JsonExcessFilter.filter(text.getBytes(StandardCharsets.UTF_8), limits),
        StandardCharsets.UTF_8);
  }
}
