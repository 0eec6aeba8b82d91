package org.hickoryshed.decision.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * Chooses the term and the member for the promotion of a new primary.
 *
 * <p>A failover process first seals members in a new term: a sealed member accepts nothing from
 * primaries of lower terms (fencing). Once a majority is sealed, it promotes one of them.
 */
public final class Promotion {

  private Promotion() {}

  /**
   * Returns the term for a new attempt.
   *
   * <p>Two candidates may choose the same term. A member grants each term to one seal only, so at
   * most one of them seals a majority.
   *
   * @param known The highest term that was seen.
   * @return The lowest term that no member is known to have granted.
   */
  public static long nextTerm(long known) {
    return known + 1;
  }

  /**
   * Chooses the member to promote among the sealed ones.
   *
   * <p>Only a majority is certain to include a member that holds every confirmed position. The
   * members are compared by the end of their log first, because a member that lacks a confirmed
   * position must never be promoted. Among members with equal logs, one that is not leaving is
   * preferred, then one in the region of the old primary.
   *
   * @param database The database.
   * @param sealed The statuses of the sealed members, taken after each was sealed.
   * @param oldPrimary The name of the replaced primary, empty if it is not known.
   * @param leaving The names of the members that are leaving.
   * @return The member to promote, empty unless a majority is sealed.
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

  private static boolean isInRegion(Database database, String member, String region) {
    return database.member(member).filter(found -> found.region().equals(region)).isPresent();
  }
}
