package org.hickoryshed.decision.topology;

/** The role of a database member. */
public enum Role {

  /** The member takes writes in its term. */
  PRIMARY,

  /** The member follows a primary. */
  REPLICA,

  /** The member was sealed and waits for the primary of its term. */
  SEALED
}
