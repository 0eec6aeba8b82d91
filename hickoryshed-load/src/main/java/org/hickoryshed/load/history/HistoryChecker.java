package org.hickoryshed.load.history;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Checks a recorded history against the final state of the objects. */
public final class HistoryChecker {

  /** This class is not instantiated. */
  private HistoryChecker() {}

  /**
   * Checks a history.
   *
   * @param operations The operations of all callers.
   * @param finalValues The final values by the names of the objects.
   * @return All violations.
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

  /**
   * Checks a write.
   *
   * @param append The write.
   * @param values The final values of the object.
   * @param violations The violations to add to.
   */
  private static void checkAppend(
      Operation.Append append, List<String> values, List<Violation> violations) {
    int times = Collections.frequency(values, append.value());
    if (times > 1) {
      violations.add(new Violation.DuplicatedWrite(append, times));
    }
    if (times == 0 && append.outcome().equals("done")) {
      violations.add(new Violation.LostWrite(append));
    }
    if (times > 0 && append.outcome().equals("not-run")) {
      violations.add(new Violation.UnexpectedWrite(append));
    }
  }

  /**
   * Checks a read.
   *
   * @param read The read.
   * @param values The final values of the object.
   * @param violations The violations to add to.
   */
  private static void checkRead(
      Operation.Read read, List<String> values, List<Violation> violations) {
    for (String value : read.mustSee()) {
      if (!read.seen().contains(value)) {
        violations.add(new Violation.StaleRead(read, value));
      }
    }
    int seen = read.seen().size();
    if (seen > values.size() || !values.subList(0, seen).equals(read.seen())) {
      violations.add(new Violation.DivergentRead(read));
    }
  }
}
