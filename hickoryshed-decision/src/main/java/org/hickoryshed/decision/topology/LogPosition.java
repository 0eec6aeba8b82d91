package org.hickoryshed.decision.topology;

/**
 * A position in the replicated log of a database.
 *
 * @param term The term of the last entry of the log from which the position was read. It may be
 *     higher than the term in which the entry at the index was written.
 * @param index The index of the entry, starting at one.
 */
public record LogPosition(long term, long index) {

  /** The position before the first entry of any log. */
  public static final LogPosition ORIGIN = new LogPosition(0, 0);

  /**
   * Checks whether a log that ends at this position holds another one.
   *
   * <p>Term and index must both reach the other position. A lexicographic comparison would accept
   * the log of a newer term that is still catching up.
   *
   * @param other A position that a majority confirmed.
   * @return {@code true} if the log holds the other position.
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

  /**
   * Checks whether a log that ends at this position is older than one that ends at another. A log
   * of an earlier term is, however long.
   *
   * @param other The end of the other log.
   * @return {@code true} if the other log may hold entries that this one lacks.
   */
  public boolean isBehind(LogPosition other) {
    return term < other.term || (term == other.term && index < other.index);
  }
}
