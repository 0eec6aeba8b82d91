package org.hickoryshed.decision.route;

import java.util.Optional;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.decision.topology.LogPosition;

/** What a member must have applied before it may answer a read. */
public sealed interface ReadRequirement {

  /**
   * Derives the requirement of a read.
   *
   * @param token The token of the session or an empty optional if the caller has none.
   * @param database The name of the database.
   * @param maxAgeMillis The age that the read accepts, if any.
   * @return The requirement.
   */
  static ReadRequirement of(
      Optional<SessionToken> token, String database, Optional<Integer> maxAgeMillis) {
    LogPosition floor =
        token.flatMap(session -> session.position(database)).orElse(LogPosition.ORIGIN);
    if (maxAgeMillis.isPresent()) {
      return new ForAge(floor, maxAgeMillis.get());
    }
    return token.isPresent() ? new ForSession(floor) : new ForBarrier();
  }

  /**
   * A read of a session: the member must have applied what the session wrote and read.
   *
   * @param floor The position of the session.
   */
  record ForSession(LogPosition floor) implements ReadRequirement {}

  /** A read without a session: the member must have applied all acknowledged writes. */
  record ForBarrier() implements ReadRequirement {}

  /**
   * A read that accepts an age: the member must have applied what was acknowledged before.
   *
   * @param floor The position of the session.
   * @param maxAgeMillis The accepted age in milliseconds.
   */
  record ForAge(LogPosition floor, int maxAgeMillis) implements ReadRequirement {}
}
