package org.hickoryshed.decision.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A database: a group of members that hold the same log.
 *
 * @param name The name of the database, unique over all pools.
 * @param members The members.
 */
public record Database(String name, List<Member> members) {

  /** Creates a new database. */
  public Database {
    members = List.copyOf(members);
  }

  /**
   * Returns a member by its name.
   *
   * @param member The name of the member.
   * @return The member or an empty optional.
   */
  public Optional<Member> member(String member) {
    return members.stream().filter(candidate -> candidate.name().equals(member)).findFirst();
  }
}
