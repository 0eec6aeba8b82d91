package org.hickoryshed.session.member;

/**
 * The number of connections to members in each state, and of the statements that wait for one.
 *
 * @param idle The number of connections that can be lent.
 * @param opening The number of connections that are being opened.
 * @param lent The number of connections that are in use, or released with outstanding responses.
 * @param waiting The number of statements that wait for a connection.
 */
public record ConnectionCounts(int idle, int opening, int lent, int waiting) {

  /** All zero; the start of a sum. */
  public static final ConnectionCounts NONE = new ConnectionCounts(0, 0, 0, 0);

  /** Returns the sum of these counts and others. */
  public ConnectionCounts plus(ConnectionCounts other) {
    return new ConnectionCounts(
        idle + other.idle, opening + other.opening, lent + other.lent, waiting + other.waiting);
  }
}
