package org.hickoryshed.load.history;

/** A violation of session consistency that a history shows. */
public sealed interface Violation {

  /**
   * An acknowledged write is missing in the final state.
   *
   * @param append The write.
   */
  record LostWrite(Operation.Append append) implements Violation {}

  /**
   * A write is in the final state more than once.
   *
   * @param append The write.
   * @param count The number of times that the final state holds the value.
   */
  record DuplicatedWrite(Operation.Append append, int count) implements Violation {}

  /**
   * A write that was reported as not run is in the final state.
   *
   * @param append The write.
   */
  record UnexpectedWrite(Operation.Append append) implements Violation {}

  /**
   * A read did not return a value that it had to return.
   *
   * @param read The read.
   * @param missing The missing value.
   */
  record StaleRead(Operation.Read read, String missing) implements Violation {}

  /**
   * A read returned values that are not a prefix of the final values, for example a write that was
   * lost in a failover later.
   *
   * @param read The read.
   */
  record DivergentRead(Operation.Read read) implements Violation {}
}
