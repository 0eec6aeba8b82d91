package org.hickoryshed.decision.topology;

/**
 * A position in the log of a database.
 *
 * @param term The term of the log that holds the position, which is the term of its last entry.
 * @param index The index of the entry, starting at one.
 */
public record LogPosition(long term, long index) {

  /** The position before the first entry of any log. */
  public static final LogPosition ORIGIN = new LogPosition(0, 0);

  /**
   * Checks if a log that ends here holds another position.
   *
   * <p>Both parts must reach the other position. A lexicographic comparison would accept the log of
   * a newer term that is still catching up.
   *
   * @param other A position that a majority confirmed.
   * @return {@code true} if the other position is held.
   */
  public boolean covers(LogPosition other) {
    return term >= other.term && index >= other.index;
  }

  /**
   * Merges two positions that a majority confirmed.
   *
   * @param other The other position.
   * @return The smallest position that covers both.
   */
  public LogPosition merge(LogPosition other) {
    return new LogPosition(Math.max(term, other.term), Math.max(index, other.index));
  }
}
