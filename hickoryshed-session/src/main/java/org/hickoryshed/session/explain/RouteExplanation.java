package org.hickoryshed.session.explain;

import java.util.List;
import java.util.Optional;

/**
 * Where a statement of a route would go now, and why. Operators see the names of the components.
 *
 * @param proxy The name of the proxy that was asked.
 * @param desiredVersion The version of the desired state in force.
 * @param route The name of the database that the route serves.
 * @param workspace The workspace that was asked for, empty for none; its quota is not considered.
 * @param pool The name of the pool of members, empty if there is no such route.
 * @param freshness What the route requires of reads.
 * @param balancing How the member is chosen.
 * @param required The log position that a member must hold, empty if only the primary may respond.
 * @param floorAgeMillis The age of the newest position that is known to cover all earlier commits.
 * @param member The identifier of the member that the statement would be sent to, if any.
 * @param outcome What would happen to the statement.
 * @param members What is known of each member.
 */
public record RouteExplanation(
    String proxy,
    long desiredVersion,
    String route,
    Optional<String> workspace,
    Optional<String> pool,
    Optional<String> freshness,
    Optional<String> balancing,
    Optional<String> required,
    Optional<Long> floorAgeMillis,
    Optional<String> member,
    String outcome,
    List<MemberLine> members) {

  /**
   * What is known of a member.
   *
   * @param id The identifier of the member.
   * @param domain The failure domain of the member.
   * @param primary True if the member counts as the primary.
   * @param verdict The reason for or against the member.
   * @param share The probability that one draw yields the member.
   * @param holder The proxy that would lend the connection, empty for connections of this proxy.
   * @param position The log position that the member reported last.
   * @param inFlight The statements of this proxy that use or wait for a connection.
   * @param window The statements that this proxy may have in flight over its own connections before
   *     it sends others elsewhere.
   * @param trust Whether the outcomes of recent statements allow the use of the member.
   * @param reportAgeMillis The age of the holder's last word on the member's load, if there is one.
   */
  public record MemberLine(
      String id,
      String domain,
      boolean primary,
      String verdict,
      double share,
      Optional<String> holder,
      String position,
      int inFlight,
      int window,
      String trust,
      Optional<Long> reportAgeMillis) {}
}
