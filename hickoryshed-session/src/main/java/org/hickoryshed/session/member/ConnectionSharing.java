package org.hickoryshed.session.member;

import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.sharing.ConnectionShare;

/**
 * Shares the limited connections of members with the other proxies.
 *
 * <p>It decides whether a statement borrows a connection of another proxy or uses one of this
 * process, and how many connections this process may open. Another proxy also relays statements to
 * a member that this process can't reach.
 */
public interface ConnectionSharing {

  /**
   * Requests a connection from another proxy, if the member's connections are to be borrowed.
   *
   * @param pool The pool of the member.
   * @param borrower The statement that needs a connection.
   * @return {@code true} if the request was sent to another proxy and the borrower will be called
   *     back, {@code false} if this process has to use a connection of its own.
   */
  boolean borrow(MemberConnectionPool pool, Borrower borrower);

  /**
   * Withdraws a borrower's request to another proxy.
   *
   * @return {@code false} if the borrower has no such request.
   */
  boolean cancel(Borrower borrower);

  /**
   * Checks if another proxy can relay statements to a member that this process does not reach.
   *
   * @return {@code true} if another proxy has reported that it reaches the member.
   */
  boolean isReachableThroughPeer(MemberConnectionPool pool);

  /**
   * Records that another proxy reaches a member.
   *
   * @param member The identifier of the member.
   * @param proxy The name of the other proxy.
   */
  void recordPeerReaching(String member, String proxy);

  /**
   * Checks if the proxies lend each other the connections to a member, since it accepts too few for
   * each of them.
   *
   * @param connectionLimit The number of connections that the member accepts.
   */
  boolean isShared(int connectionLimit);

  /** Returns the number of proxies in each failure domain, this one included. */
  Map<String, Integer> proxiesByDomain();

  /**
   * Returns the proxy whose connection to a member a statement would borrow now.
   *
   * @param pool The connections to the member.
   * @param workspace The workspace of the statement, empty if it belongs to none.
   * @return The name of the proxy, empty if this process would use a connection of its own.
   */
  Optional<String> lender(MemberConnectionPool pool, Optional<String> workspace);

  /** Returns how many connections to the member this process may hold at present. */
  ConnectionShare share(MemberConnectionPool pool);

  /** Tells the other proxies that the member refuses new connections, so that they close some. */
  void announceContention(MemberConnectionPool pool);
}
