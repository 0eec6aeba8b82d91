package org.hickoryshed.protocol.statement;

/** The reason why a request is not done. */
public enum Reason {

  /** No primary is known for the database. */
  NO_PRIMARY,

  /** The member is not the primary or is of a lower term. */
  NOT_PRIMARY,

  /** The work could not have finished in time. */
  OVERLOADED,

  /** The deadline passed before the work started. */
  DEADLINE,

  /** The member has not applied what the caller must see. */
  BEHIND,

  /** The transaction does not exist, has ended or was rolled back. */
  NO_TRANSACTION,

  /** The process or member could not be reached. */
  UNREACHABLE,

  /** The member accepts no further connection. */
  NO_CONNECTION,

  /** The database rejected the statement. */
  REJECTED,

  /** The process that was asked does not serve the member. */
  NOT_SERVED,

  /** The idempotency key was claimed as cancelled. */
  CANCELLED,

  /** The answer was lost or incomplete. */
  ANSWER_LOST,

  /** No majority confirmed the position in time. */
  NOT_CONFIRMED,

  /** The term of the primary ended before a majority confirmed the position. */
  SUPERSEDED
}
