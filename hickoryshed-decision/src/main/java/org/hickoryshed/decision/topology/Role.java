package org.hickoryshed.decision.topology;

/** The role of a database member. */
public enum Role {

  /** The member accepts writes in its term. */
  PRIMARY,

  /** The member replicates the log of a primary. */
  REPLICA,

  /** The member was sealed: it is fenced off from earlier primaries and awaits one of its term. */
  SEALED
}
