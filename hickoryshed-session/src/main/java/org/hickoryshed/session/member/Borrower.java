package org.hickoryshed.session.member;

import java.util.Optional;

/**
 * A statement that waits for, or uses, a connection to a member.
 *
 * <p>Each request for a connection ends with a call of {@link #onConnection} or {@link
 * #onUnavailable}, unless the borrower cancels it.
 */
public interface Borrower {

  /**
   * Returns the priority; the lowest number gets a connection first.
   *
   * @return The priority of a caller's statement, or a negative number for a request of a proxy.
   */
  int priority();

  /**
   * Returns the workspace that the statement belongs to. A member is told who is connecting when a
   * connection is opened, so a statement only ever uses a connection of its own workspace.
   *
   * @return The name of the workspace, empty to use a connection in the name of the proxy.
   */
  Optional<String> workspace();

  /**
   * Checks if this request is one of a proxy rather than of a caller. It may use a connection of
   * any workspace, since it carries nothing of a caller.
   */
  default boolean isOfProxy() {
    return priority() < 0;
  }

  /**
   * Checks if another proxy may decline to lend a connection because the member is busy or fails
   * statements, so that the borrower chooses another member.
   */
  default boolean mayBeDeclined() {
    return false;
  }

  /** Called instead of {@link #onConnection} if another proxy declined. */
  default void onDeclined() {
    onUnavailable();
  }

  /** Returns the state of the session that the statement belongs to. */
  SessionState session();

  /** Receives a connection, which the borrower has to release or abort. */
  void onConnection(MemberConnection connection);

  /** Called instead if the member becomes unreachable or is removed. */
  void onUnavailable();

  /**
   * Called when the lent connection ended before it was released.
   *
   * <p>The receivers of outstanding responses are called before, so most borrowers need not act.
   *
   * @param reason Why the connection ended.
   */
  default void onConnectionLost(String reason) {}
}
