package org.hickoryshed.proxy.frontend;

import java.util.Optional;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.protocol.statement.Statement;

/**
 * A request of a caller whose route and database are resolved.
 *
 * @param route The route that the caller named.
 * @param database The database that holds the partition of the request.
 * @param statement The statement, empty to begin or end a transaction and to cancel a key.
 * @param key The idempotency key, if the caller sent one.
 * @param token The session token, if the caller sent one.
 * @param maxAgeMillis The age in milliseconds of the data that the request accepts, if any.
 * @param deadline The time in epoch milliseconds at which the caller stops waiting.
 */
record CallerRequest(
    Route route,
    Database database,
    Optional<Statement> statement,
    Optional<String> key,
    Optional<SessionToken> token,
    Optional<Integer> maxAgeMillis,
    long deadline) {

  /** Returns the route and statement name by which the scheduler estimates costs. */
  String label() {
    return route.name() + "/" + statement.map(Statement::name).orElse("");
  }

  /** Returns the time until the deadline in milliseconds, at least one. */
  long remainingMillis() {
    return Math.max(1, deadline - System.currentTimeMillis());
  }

  /** Checks if the deadline passed. */
  boolean isExpired() {
    return System.currentTimeMillis() >= deadline;
  }

  /** Returns a copy of this request with another idempotency key. */
  CallerRequest withKey(Optional<String> newKey) {
    return new CallerRequest(route, database, statement, newKey, token, maxAgeMillis, deadline);
  }
}
