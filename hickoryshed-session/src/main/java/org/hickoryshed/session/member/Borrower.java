package org.hickoryshed.session.member;

/** A statement that needs a connection. */
public interface Borrower {

  /**
   * Returns the priority of the statement.
   *
   * @return The priority, zero is the highest.
   */
  int priority();

  /**
   * Returns the state of the session that the statement belongs to.
   *
   * @return The state of the session.
   */
  SessionState session();

  /**
   * Takes a connection.
   *
   * @param connection The connection.
   */
  void onConnection(MemberConnection connection);

  /** Handles that the member can't be reached. */
  void onUnavailable();

  /**
   * Handles the end of the connection that was lent.
   *
   * <p>Outstanding statements get their answers by themselves, so most borrowers need not act.
   *
   * @param reason What happened to the connection.
   */
  default void onConnectionLost(String reason) {}
}
