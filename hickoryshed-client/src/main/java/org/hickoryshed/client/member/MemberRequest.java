package org.hickoryshed.client.member;

import java.util.Optional;
import org.hickoryshed.protocol.statement.Statement;

/**
 * A request on a connection to a database member.
 *
 * @param action What to do.
 * @param write {@code true} if only the primary may run it.
 * @param statement The statement, if the action runs one.
 * @param key The idempotency key, recorded in the same transaction as the effect of the request.
 */
public record MemberRequest(
    Action action, boolean write, Optional<Statement> statement, Optional<String> key) {

  /** What to do on a connection. */
  public enum Action {

    /** Runs a statement in a transaction of its own. */
    RUN,

    /** Begins a transaction. */
    BEGIN,

    /** Runs a statement in the open transaction. */
    STEP,

    /** Commits the open transaction. */
    COMMIT,

    /** Rolls the open transaction back. */
    ROLLBACK,

    /**
     * Records the idempotency key as cancelled unless it is already recorded, so that a request
     * with this key no longer takes effect.
     */
    CANCEL
  }
}
