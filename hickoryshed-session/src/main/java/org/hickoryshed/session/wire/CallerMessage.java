package org.hickoryshed.session.wire;

import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;

/** A message of a caller. */
public sealed interface CallerMessage {

  /**
   * Opens the session.
   *
   * @param database The name of the database.
   */
  record Open(String database) implements CallerMessage {}

  /**
   * Asks for a statement.
   *
   * @param id The identifier that the caller gave to the statement.
   * @param statement The statement.
   * @param text The text of the statement as the caller wrote it.
   */
  record Request(String id, Statement statement, String text) implements CallerMessage {}

  /** Ends the session. */
  record Leave() implements CallerMessage {}

  /**
   * A message that can't be read.
   *
   * @param kind Why it can't be read.
   */
  record Unreadable(FailureKind kind) implements CallerMessage {}
}
