package org.hickoryshed.session.wire;

import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;

/** A message from a caller, decoded by {@link WireFormat#decodeCallerMessage}. */
public sealed interface CallerMessage {

  /**
   * Opens a database; the first message of a session.
   *
   * @param database The name of the database, by which its route is found.
   * @param key The key that identifies the caller's workspace, empty if the caller gave none; it is
   *     secret.
   */
  record Open(String database, Optional<String> key) implements CallerMessage {

    /** Returns a text for logs, without the key. */
    @Override
    public String toString() {
      return "Open[database=" + database + "]";
    }
  }

  /**
   * A statement to execute.
   *
   * @param id The identifier that the caller gave to the statement, passed on to the member.
   * @param statement The parsed statement.
   * @param text The text of the statement as the caller wrote it, passed on to the member.
   */
  record Request(String id, Statement statement, String text) implements CallerMessage {}

  /** Closes the session. */
  record Leave() implements CallerMessage {}

  /**
   * A message that can't be parsed; the session is closed.
   *
   * @param kind The failure that the caller is told.
   */
  record Unreadable(FailureKind kind) implements CallerMessage {}
}
