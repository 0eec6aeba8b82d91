package org.hickoryshed.load.history;

import java.util.List;
import java.util.Set;

/** An operation of a caller with its outcome. */
public sealed interface Operation {

  /**
   * Returns the object that the operation was about.
   *
   * @return The name of the object.
   */
  String object();

  /**
   * A write that appended a value.
   *
   * @param object The name of the object.
   * @param value The value, unique in the history.
   * @param outcome The outcome: done, not-run or unknown.
   */
  record Append(String object, String value, String outcome) implements Operation {}

  /**
   * A read that was done.
   *
   * @param object The name of the object.
   * @param seen The values that the answer held, in order.
   * @param mustSee The values that were acknowledged to the session, or to anybody if the caller
   *     had no token, before the read began.
   */
  record Read(String object, List<String> seen, Set<String> mustSee) implements Operation {

    /** Creates a new read. */
    public Read {
      seen = List.copyOf(seen);
      mustSee = Set.copyOf(mustSee);
    }
  }
}
