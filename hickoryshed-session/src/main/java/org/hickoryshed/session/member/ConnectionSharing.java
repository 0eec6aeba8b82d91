package org.hickoryshed.session.member;

import org.hickoryshed.decision.sharing.ConnectionShare;

/** The ways to members other than by a connection of this process, and what it may hold itself. */
public interface ConnectionSharing {

  /**
   * Lends a connection of another proxy, if one is to be used.
   *
   * @param pool The pool of the member.
   * @param borrower The statement that needs a connection.
   * @return {@code true} if the borrower will hear of it, {@code false} if this process has to use
   *     a connection of its own.
   */
  boolean borrow(MemberPool pool, Borrower borrower);

  /**
   * Withdraws what a borrower asked another proxy for.
   *
   * @param borrower The statement.
   * @return {@code true} if another proxy was asked.
   */
  boolean cancel(Borrower borrower);

  /**
   * Checks if another proxy can be used for a member that this process does not reach.
   *
   * @param pool The pool of the member.
   * @return {@code true} if another proxy said that it reaches the member.
   */
  boolean isReachableThroughPeer(MemberPool pool);

  /**
   * Notes that another proxy reaches a member.
   *
   * @param member The identifier of the member.
   * @param proxy The name of the proxy.
   */
  void notePeerReaches(String member, String proxy);

  /**
   * Finds how many connections this process may hold itself.
   *
   * @param pool The pool of the member.
   * @return The share.
   */
  ConnectionShare share(MemberPool pool);

  /**
   * Tells the other proxies that a member refuses new connections.
   *
   * @param pool The pool of the member.
   */
  void announceContention(MemberPool pool);
}
