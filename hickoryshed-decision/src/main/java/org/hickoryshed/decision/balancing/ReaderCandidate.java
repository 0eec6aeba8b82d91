package org.hickoryshed.decision.balancing;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a proxy knows of a member that may serve a read.
 *
 * @param id The identifier of the member.
 * @param domain The failure domain of the member.
 * @param slots The number of statements that the member runs concurrently.
 * @param primary True if the member is the primary.
 * @param obstacle Why the member can't serve the read at all, empty if it can.
 * @param trust Whether the member's recent responses allow its use.
 * @param full True if the proxy that holds the connections to the member declined a statement a
 *     short time ago because there is room elsewhere.
 * @param ownInFlight The number of statements of this proxy that wait for or run at the member.
 * @param report The latest report of another proxy about the member, if there is one.
 * @param idleConnection True if an idle connection that fits the caller is open to the member.
 */
public record ReaderCandidate(
    String id,
    String domain,
    int slots,
    boolean primary,
    Optional<Obstacle> obstacle,
    MemberTrust.State trust,
    boolean full,
    int ownInFlight,
    Optional<LoadReport> report,
    boolean idleConnection) {

  /** Why a member can't serve a read. */
  public enum Obstacle {
    /** Neither this proxy nor another known one reaches the member. */
    UNREACHABLE,
    /** The member is about to leave. */
    LEAVING,
    /** The log of the member lacks the required position. */
    BEHIND,
    /** An earlier attempt of the same statement used the member. */
    TRIED_BEFORE
  }

  /** Returns the expected number of statements at the member for each of its slots. */
  double load() {
    double inFlight = ownInFlight + report.map(LoadReport::remainingInFlight).orElse(0.0);
    // An idle connection saves the work of opening one, which takes a slot like a statement.
    return (inFlight + (idleConnection ? 0 : 1)) / Math.max(1, slots);
  }

  /** Returns the recent response time of a replica in nanoseconds, empty if it is not known. */
  OptionalDouble replicaResponseNanos() {
    // The primary's own work differs, so its response time can't be compared.
    return primary || report.filter(LoadReport::hasResponseTime).isEmpty()
        ? OptionalDouble.empty()
        : OptionalDouble.of(report.get().responseNanos());
  }
}
