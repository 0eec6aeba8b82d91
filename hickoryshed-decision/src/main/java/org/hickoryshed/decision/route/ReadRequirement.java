package org.hickoryshed.decision.route;

import java.util.Optional;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * The consistency requirement of a read: what a member must have applied before it may serve it.
 */
public sealed interface ReadRequirement {

  /**
   * Derives the requirement of a read. An accepted age takes precedence over the session, whose
   * position the member must have applied in any case.
   *
   * @param token The token of the session, empty if the caller sent none.
   * @param database The name of the database.
   * @param maxAgeMillis The maximum age of the data in milliseconds, empty if the read accepts
   *     none.
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
   * @param floor The position of the session, {@link LogPosition#ORIGIN} if it has not used the
   *     database.
   */
  record ForSession(LogPosition floor) implements ReadRequirement {}

  /** A read without a session: the member must have applied all acknowledged writes. */
  record ForBarrier() implements ReadRequirement {}

  /**
   * A read with bounded staleness: the member must have applied every write that was acknowledged
   * longer ago than the accepted age.
   *
   * @param floor The position of the session, {@link LogPosition#ORIGIN} without one.
   * @param maxAgeMillis The accepted age in milliseconds.
   */
  record ForAge(LogPosition floor, int maxAgeMillis) implements ReadRequirement {}
}
