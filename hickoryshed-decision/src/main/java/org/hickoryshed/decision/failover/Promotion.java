package org.hickoryshed.decision.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/** The choice of the successor of a primary. */
public final class Promotion {

  /** This class is not instantiated. */
  private Promotion() {}

  /**
   * Returns the term for a new attempt.
   *
   * <p>Two candidates may choose the same term. A member grants each term to one seal only, so at
   * most one of them seals a majority.
   *
   * @param known The highest term that was seen.
   * @return A term that no member has granted as far as is known.
   */
  public static long nextTerm(long known) {
    return known + 1;
  }

  /**
   * Chooses the successor among sealed members.
   *
   * <p>Only a majority can be trusted to include each confirmed position. The end of the log comes
   * first, because a member that lacks a confirmed position must never be chosen. A leaving member
   * is chosen only if no other member is as far.
   *
   * @param database The database.
   * @param sealed The statuses of members that granted the seal, taken after the seal.
   * @param oldPrimary The name of the replaced primary or an empty text.
   * @param leaving The names of members that are leaving.
   * @return The successor or an empty optional if no majority was sealed.
   */
  public static Optional<MemberStatus> choose(
      Database database, Collection<MemberStatus> sealed, String oldPrimary, Set<String> leaving) {
    if (sealed.size() < Majority.of(database.members().size())) {
      return Optional.empty();
    }
    String region = database.member(oldPrimary).map(Member::region).orElse("");
    Comparator<MemberStatus> order =
        Comparator.comparingLong(MemberStatus::logTerm)
            .thenComparingLong(MemberStatus::held)
            .thenComparing(status -> !leaving.contains(status.member()))
            .thenComparing(status -> isInRegion(database, status.member(), region))
            .thenComparing(MemberStatus::member, Comparator.reverseOrder());
    return sealed.stream().max(order);
  }

  /**
   * Checks if a member is in a region.
   *
   * @param database The database.
   * @param member The name of the member.
   * @param region The region.
   * @return {@code true} if the member is in the region.
   */
  private static boolean isInRegion(Database database, String member, String region) {
    return database.member(member).filter(found -> found.region().equals(region)).isPresent();
  }
}
