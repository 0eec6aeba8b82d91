package org.hickoryshed.decision.route;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.DatabaseView;

/**
 * The choice among the members of a database from the place of one proxy.
 *
 * @param domain The failure domain of the proxy.
 * @param region The region of the proxy.
 */
public record MemberSelector(String domain, String region) {

  /**
   * Orders the members that may serve a read.
   *
   * <p>A leaving replica gets no new work. A leaving primary serves until its role is handed over.
   *
   * @param database The database.
   * @param view What is known of the members.
   * @param leaving The names of members that are leaving.
   * @param primaryOnly {@code true} if only the primary serves the read.
   * @return The members to try: replicas from near to far, then the primary.
   */
  public List<Member> forRead(
      Database database, DatabaseView view, Set<String> leaving, boolean primaryOnly) {
    String primary = view.primaryName().orElse("");
    Comparator<Member> order =
        Comparator.comparing((Member member) -> member.name().equals(primary))
            .thenComparingInt(this::distance)
            .thenComparing(Member::name);
    return database.members().stream()
        .filter(member -> !primaryOnly || member.name().equals(primary))
        .filter(member -> !leaving.contains(member.name()) || member.name().equals(primary))
        .sorted(order)
        .toList();
  }

  /**
   * Measures how far a member is.
   *
   * @param member The member.
   * @return Zero in the same failure domain, one in the same region, two elsewhere.
   */
  private int distance(Member member) {
    if (member.domain().equals(domain)) {
      return 0;
    }
    return member.region().equals(region) ? 1 : 2;
  }
}
