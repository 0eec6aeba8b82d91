package org.hickoryshed.session.member;

/**
 * The connections to members by their state, and what waits for one.
 *
 * @param idle The number of connections that can be lent.
 * @param opening The number of connections that are being opened.
 * @param lent The number of connections that are in use, or on their way back.
 * @param waiting The number of statements that wait for a connection.
 */
public record PoolCounts(int idle, int opening, int lent, int waiting) {

  /** The counts of no member. */
  public static final PoolCounts NONE = new PoolCounts(0, 0, 0, 0);

  /**
   * Adds the counts of another member.
   *
   * @param other The other counts.
   * @return The sum.
   */
  public PoolCounts plus(PoolCounts other) {
    return new PoolCounts(
        idle + other.idle, opening + other.opening, lent + other.lent, waiting + other.waiting);
  }
}
