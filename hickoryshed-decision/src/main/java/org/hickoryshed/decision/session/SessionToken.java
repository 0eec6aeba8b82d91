package org.hickoryshed.decision.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * The state of a session that the caller carries from request to request: for each database, the
 * confirmed log position that covers everything the session has written and read.
 *
 * @param positions The positions by the name of the database.
 */
public record SessionToken(Map<String, LogPosition> positions) {

  /** The token of a new session. */
  public static final SessionToken EMPTY = new SessionToken(Map.of());

  /** Copies the map. */
  public SessionToken {
    positions = Map.copyOf(positions);
  }

  /**
   * Returns the position that a read of this session must reach.
   *
   * @param database The name of the database.
   * @return The position, empty if the session has not used the database.
   */
  public Optional<LogPosition> position(String database) {
    return Optional.ofNullable(positions.get(database));
  }

  /**
   * Returns a token that covers another position as well.
   *
   * @param database The name of the database.
   * @param position The confirmed position of the response that the caller is about to receive.
   * @return The new token; its position never moves backwards.
   */
  public SessionToken advance(String database, LogPosition position) {
    Map<String, LogPosition> next = new HashMap<>(positions);
    next.merge(database, position, LogPosition::merge);
    return new SessionToken(next);
  }
}
