package org.hickoryshed.load.history;

import java.util.List;
import java.util.Set;

/** An operation of a caller on one object, as recorded in a history. */
public sealed interface Operation {

  /**
   * Returns the name of the object.
   *
   * @return The name of the object.
   */
  String object();

  /**
   * A write that appends a value.
   *
   * @param object The name of the object.
   * @param value The value, unique in the history.
   * @param outcome The reported outcome: {@code done}, {@code not-run} or {@code unknown}.
   */
  record Append(String object, String value, String outcome) implements Operation {}

  /**
   * A successful read.
   *
   * @param object The name of the object.
   * @param values The values that were returned, in order.
   * @param required The values that the read had to return: those acknowledged before it began to
   *     the session, or to any caller if the read carried no session token.
   */
  record Read(String object, List<String> values, Set<String> required) implements Operation {

    /** Copies the collections. */
    public Read {
      values = List.copyOf(values);
      required = Set.copyOf(required);
    }
  }
}
