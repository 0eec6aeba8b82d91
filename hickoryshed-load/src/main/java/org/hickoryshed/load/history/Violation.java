package org.hickoryshed.load.history;

/** A violation of what must always hold. */
public sealed interface Violation {

  /**
   * An acknowledged write is not in the final state.
   *
   * @param append The write.
   */
  record LostWrite(Operation.Append append) implements Violation {}

  /**
   * A write is in the final state more than once.
   *
   * @param append The write.
   * @param times How often the write is in the final state.
   */
  record DuplicatedWrite(Operation.Append append, int times) implements Violation {}

  /**
   * A write that was answered as not run is in the final state.
   *
   * @param append The write.
   */
  record UnexpectedWrite(Operation.Append append) implements Violation {}

  /**
   * A read misses an acknowledged write.
   *
   * @param read The read.
   * @param missing The value that is missing.
   */
  record StaleRead(Operation.Read read, String missing) implements Violation {}

  /**
   * A read shows values that are not a prefix of the final state.
   *
   * @param read The read.
   */
  record DivergentRead(Operation.Read read) implements Violation {}
}
