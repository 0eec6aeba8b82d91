package org.hickoryshed.proxy.frontend;

import java.util.Optional;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.protocol.statement.Statement;

/**
 * A request of a caller whose route and database are resolved.
 *
 * @param route The route.
 * @param database The database.
 * @param statement The statement, if the request carries one.
 * @param key The idempotency key.
 * @param token The session token, if the caller sent one.
 * @param maxAgeMillis The age in milliseconds that the request accepts.
 * @param deadline The time in milliseconds at which the caller gives up.
 */
record CallerRequest(
    Route route,
    Database database,
    Optional<Statement> statement,
    Optional<String> key,
    Optional<SessionToken> token,
    Optional<Integer> maxAgeMillis,
    long deadline) {

  /**
   * Returns the label by which costs are learnt.
   *
   * @return The label.
   */
  String label() {
    return route.name() + "/" + statement.map(Statement::name).orElse("");
  }

  /**
   * Returns the time that is left.
   *
   * @return The time in milliseconds, at least one.
   */
  long remainingMillis() {
    return Math.max(1, deadline - System.currentTimeMillis());
  }

  /**
   * Checks if the caller has given up.
   *
   * @return {@code true} if the deadline passed.
   */
  boolean isExpired() {
    return System.currentTimeMillis() >= deadline;
  }

  /**
   * Sets the idempotency key.
   *
   * @param newKey The idempotency key.
   * @return The changed request.
   */
  CallerRequest withKey(Optional<String> newKey) {
    return new CallerRequest(route, database, statement, newKey, token, maxAgeMillis, deadline);
  }
}
