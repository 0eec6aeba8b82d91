package org.hickoryshed.decision.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A database: a group of members that replicate one log.
 *
 * <p>It is part of a {@link Pool} in the tables of this project's own HTTP interface. In the
 * package {@code org.hickoryshed.decision.directory}, such a group is called a pool, and a database
 * is a name that callers open.
 *
 * @param name The name of the database, unique across all pools.
 * @param members The members.
 */
public record Database(String name, List<Member> members) {

  /** Copies the list of members. */
  public Database {
    members = List.copyOf(members);
  }

  /**
   * Finds a member by its name.
   *
   * @param member The name of the member.
   * @return The member, empty if there is none of that name.
   */
  public Optional<Member> member(String member) {
    return members.stream().filter(candidate -> candidate.name().equals(member)).findFirst();
  }
}
