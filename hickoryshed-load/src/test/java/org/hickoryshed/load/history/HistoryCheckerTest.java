package org.hickoryshed.load.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of {@link HistoryChecker} with handwritten histories. */
class HistoryCheckerTest {

  private static final String OBJECT = "order";
  private static final String FIRST = "v1";
  private static final String SECOND = "v2";

  @Test
  void acceptsConsistentHistory() {
    List<Operation> operations =
        List.of(
            append(FIRST, "done"),
            append(SECOND, "unknown"),
            append("v3", "not-run"),
            read(List.of(FIRST), Set.of(FIRST)),
            read(List.of(FIRST, SECOND), Set.of(FIRST)));

    assertThat(HistoryChecker.check(operations, state(FIRST, SECOND))).isEmpty();
  }

  @Test
  void rejectsLostWrite() {
    assertThat(HistoryChecker.check(List.of(append(FIRST, "done")), state()))
        .containsExactly(new Violation.LostWrite(append(FIRST, "done")));
  }

  @Test
  void rejectsDuplicatedWriteOfUnknownOutcome() {
    assertThat(HistoryChecker.check(List.of(append(FIRST, "unknown")), state(FIRST, FIRST)))
        .containsExactly(new Violation.DuplicatedWrite(append(FIRST, "unknown"), 2));
  }

  @Test
  void rejectsWriteReportedAsNotRun() {
    assertThat(HistoryChecker.check(List.of(append(FIRST, "not-run")), state(FIRST)))
        .containsExactly(new Violation.UnexpectedWrite(append(FIRST, "not-run")));
  }

  @Test
  void rejectsStaleRead() {
    Operation.Read read = read(List.of(), Set.of(FIRST));

    assertThat(HistoryChecker.check(List.of(read), state(FIRST)))
        .containsExactly(new Violation.StaleRead(read, FIRST));
  }

  @Test
  void rejectsReadOfValueThatDisappearedLater() {
    Operation.Read read = read(List.of(FIRST), Set.of());

    assertThat(HistoryChecker.check(List.of(read), state(SECOND)))
        .containsExactly(new Violation.DivergentRead(read));
  }

  private static Operation.Append append(String value, String outcome) {
    return new Operation.Append(OBJECT, value, outcome);
  }

  private static Operation.Read read(List<String> values, Set<String> required) {
    return new Operation.Read(OBJECT, values, required);
  }

  private static Map<String, List<String>> state(String... values) {
    return Map.of(OBJECT, List.of(values));
  }
}
