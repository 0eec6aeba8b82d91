package org.hickoryshed.load.history;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Checks a recorded history of writes and reads for violations of session consistency. It compares
 * each operation with the final state of the objects, which are append-only lists of unique values.
 */
public final class HistoryChecker {

  private HistoryChecker() {}

  /**
   * Checks a history.
   *
   * @param operations The operations of all callers, in any order.
   * @param finalValues The final values of each object, in order; a missing object has none.
   * @return All violations, empty if the history is consistent.
   */
  public static List<Violation> check(
      Collection<Operation> operations, Map<String, List<String>> finalValues) {
    List<Violation> violations = new ArrayList<>();
    for (Operation operation : operations) {
      List<String> values = finalValues.getOrDefault(operation.object(), List.of());
      switch (operation) {
        case Operation.Append append -> checkAppend(append, values, violations);
        case Operation.Read read -> checkRead(read, values, violations);
      }
    }
    return violations;
  }

  /** Checks that the final state holds a write as often as its outcome says. */
  private static void checkAppend(
      Operation.Append append, List<String> values, List<Violation> violations) {
    int count = Collections.frequency(values, append.value());
    if (count > 1) {
      violations.add(new Violation.DuplicatedWrite(append, count));
    }
    if (count == 0 && append.outcome().equals("done")) {
      violations.add(new Violation.LostWrite(append));
    }
    if (count > 0 && append.outcome().equals("not-run")) {
      violations.add(new Violation.UnexpectedWrite(append));
    }
  }

  /**
   * Checks that a read returned all required values, and a prefix of the final values: values may
   * be missing at the end, but none may be reordered or have disappeared later.
   */
  private static void checkRead(
      Operation.Read read, List<String> values, List<Violation> violations) {
    for (String value : read.required()) {
      if (!read.values().contains(value)) {
        violations.add(new Violation.StaleRead(read, value));
      }
    }
    int length = read.values().size();
    if (length > values.size() || !values.subList(0, length).equals(read.values())) {
      violations.add(new Violation.DivergentRead(read));
    }
  }
}
