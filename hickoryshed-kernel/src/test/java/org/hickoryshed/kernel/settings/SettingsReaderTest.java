package org.hickoryshed.kernel.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link SettingsReader}. */
class SettingsReaderTest {

  private static final String SOURCE = "file.toml";
  private static final Duration FALLBACK = Duration.ofSeconds(9);

  @Test
  void readsDurationWithUnit() {
    SettingsReader reader = new SettingsReader(SOURCE, "wait = \"250 ms\"");

    assertThat(reader.duration("wait", FALLBACK)).isEqualTo(Duration.ofMillis(250));
    assertThat(reader.problems()).isEmpty();
  }

  @Test
  void readsDurationWithDecimalFraction() {
    SettingsReader reader = new SettingsReader("test.toml", "wait = \"6.5 s\"\n");

    assertThat(reader.duration("wait", FALLBACK)).isEqualTo(Duration.ofMillis(6500));
    assertThat(reader.problems()).isEmpty();
  }

  @Test
  void reportsUnknownUnitWithLineAndExpectedValue() {
    SettingsReader reader = new SettingsReader(SOURCE, "a = 1\nwait = \"5 parsecs\"");
    reader.integer("a", 0, 0, 9);

    reader.duration("wait", FALLBACK);

    assertThat(reader.problems())
        .containsExactly(
            new SettingsProblem(
                SOURCE,
                2,
                "wait",
                "5 parsecs",
                "a duration such as \"250 ms\" (units ms, s, m, h)"));
  }

  @Test
  void collectsAllProblems() {
    SettingsReader reader = new SettingsReader(SOURCE, "port = 99999999\ntypo = 1");

    reader.text("name");
    reader.integer("port", 1, 1, 65_535);

    assertThat(reader.problems())
        .extracting(SettingsProblem::key)
        .containsExactly("name", "port", "typo");
  }

  @Test
  void reportsMalformedToml() {
    SettingsReader reader = new SettingsReader(SOURCE, "name = ");

    assertThat(reader.problems()).first().extracting(SettingsProblem::line).isEqualTo(1);
  }

  @Test
  void reportsAddressThatIsNotAnIpAddress() {
    SettingsReader reader = new SettingsReader(SOURCE, "address = \"localhost:80\"");

    reader.address("address");

    assertThat(reader.problems()).extracting(SettingsProblem::key).isEqualTo(List.of("address"));
  }
}
