package org.hickoryshed.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link TableReader} and {@link TableWriter}, and of the difference that {@link
 * TableEditor} shows.
 */
class TableReaderTest {

  private static final String SOURCE = "tables.toml";
  private static final String EDIT_ID = "edit";
  private static final String TABLES =
      """
      revision = 3
      [pools.orders.databases.a.members.a-1]
      address = "127.0.0.1:1"
      domain = "d"
      region = "r"
      [routes.stock]
      pool = "orders"
      access = "read"
      """;

  @Test
  void readsTablesThatWriterWrote() {
    Configuration read = read(TABLES).value().orElseThrow();

    assertThat(read(TableWriter.write(read)).value()).contains(read);
  }

  @Test
  void reportsRouteToUnknownPool() {
    assertThat(problems(TABLES.replace("\"orders\"", "\"order\"")))
        .containsExactly(
            new SettingsProblem(SOURCE, 7, "routes.stock.pool", "order", "the name of a pool"));
  }

  @Test
  void reportsUnknownKey() {
    assertThat(problems(TABLES + "acces = \"read\"\n"))
        .containsExactly(
            new SettingsProblem(SOURCE, 9, "routes.stock.acces", "read", "a known key"));
  }

  @Test
  void listsChangedLinesWithTheirTable() {
    Configuration before = read(TABLES).value().orElseThrow();
    Configuration after = read(TABLES.replace("\"read\"", "\"write\"")).value().orElseThrow();

    assertThat(TableEditor.difference(before, after))
        .containsExactly(
            "- [routes.stock] access = \"read\"", "+ [routes.stock] access = \"write\"");
  }

  private static List<SettingsProblem> problems(String text) {
    return switch (read(text)) {
      case Result.Failed<Configuration, List<SettingsProblem>>(List<SettingsProblem> problems) ->
          problems;
      case Result.Success<Configuration, List<SettingsProblem>> ignored -> List.of();
    };
  }

  private static Result<Configuration, List<SettingsProblem>> read(String text) {
    return TableReader.read(new SettingsReader(SOURCE, text), EDIT_ID);
  }
}
