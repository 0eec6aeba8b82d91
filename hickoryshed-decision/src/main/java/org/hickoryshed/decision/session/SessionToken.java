package org.hickoryshed.decision.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * What a caller has written and read, as confirmed positions by database.
 *
 * @param positions The positions by the names of the databases.
 */
public record SessionToken(Map<String, LogPosition> positions) {

  /** The token of a session that saw nothing. */
  public static final SessionToken EMPTY = new SessionToken(Map.of());

  /** Creates a new token. */
  public SessionToken {
    positions = Map.copyOf(positions);
  }

  /**
   * Returns the position of a database.
   *
   * @param database The name of the database.
   * @return The position or an empty optional if the session did not use the database.
   */
  public Optional<LogPosition> position(String database) {
    return Optional.ofNullable(positions.get(database));
  }

  /**
   * Raises the position of a database.
   *
   * @param database The name of the database.
   * @param position The confirmed position that the caller is about to see.
   * @return A token that covers the position as well.
   */
  public SessionToken advance(String database, LogPosition position) {
    Map<String, LogPosition> next = new HashMap<>(positions);
    next.merge(database, position, LogPosition::merge);
    return new SessionToken(next);
  }
}
