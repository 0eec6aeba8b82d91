package org.hickoryshed.decision.route;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.DatabaseView;

/**
 * Selects the members of a database that a proxy tries, by their distance from the proxy.
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
   * @param view The latest known statuses of the members.
   * @param leaving The names of the members that are leaving.
   * @param primaryOnly {@code true} if only the primary may serve the read.
   * @return The members in the order to try them: replicas from near to far, then the primary.
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
   * Returns zero for a member in the same failure domain, one in the same region, two elsewhere.
   */
  private int distance(Member member) {
    if (member.domain().equals(domain)) {
      return 0;
    }
    return member.region().equals(region) ? 1 : 2;
  }
}
