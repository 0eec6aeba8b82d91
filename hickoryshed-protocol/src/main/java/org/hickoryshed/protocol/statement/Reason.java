package org.hickoryshed.protocol.statement;

/** The reason why a request is not done. Callers see it as the problem type. */
public enum Reason {

  /** No primary is known for the database. */
  NO_PRIMARY,

  /** The member is not the primary, or its term is not the latest. */
  NOT_PRIMARY,

  /** The request would not have finished before its deadline. */
  OVERLOADED,

  /** The deadline passed before the request was started. */
  DEADLINE,

  /** The member has not applied everything that the read must see. */
  BEHIND,

  /** The transaction does not exist, has ended or was rolled back. */
  NO_TRANSACTION,

  /** The process or the member could not be reached. */
  UNREACHABLE,

  /** The member accepts no more connections. */
  NO_CONNECTION,

  /** The database rejected the statement. */
  REJECTED,

  /** The process is not a pooler of the member or is shutting down. */
  NOT_SERVED,

  /** The idempotency key is recorded as cancelled. */
  CANCELLED,

  /** The response was lost or incomplete. */
  ANSWER_LOST,

  /** No majority of the members confirmed the log position in time. */
  NOT_CONFIRMED,

  /** The term of the primary ended before a majority confirmed the log position. */
  SUPERSEDED
}
