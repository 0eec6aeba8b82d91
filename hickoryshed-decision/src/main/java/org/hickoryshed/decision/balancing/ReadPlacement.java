package org.hickoryshed.decision.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Divides the reads of all failure domains among the members of a database, so that each member
 * gets a share in proportion to its capacity and as few reads as possible leave their domain or
 * region.
 *
 * <p>Each proxy computes the same division from what rarely changes, so no message is needed. A
 * domain's demand is assumed to be in proportion to its number of proxies.
 *
 * @param ownDomain The failure domain of this proxy.
 * @param regions The regions by the names of their failure domains.
 * @param proxies The number of proxies in each failure domain.
 * @param primaryOnlyShare The share of the database's work that only the primary may run, from zero
 *     to one.
 */
public record ReadPlacement(
    String ownDomain,
    Map<String, String> regions,
    Map<String, Integer> proxies,
    double primaryOnlyShare) {

  /** The ratio of response times from which on a replica counts as slow. */
  private static final double SLOW_RATIO = 2;

  /** Amounts below this count as nothing, so that rounding leaves no traces. */
  private static final double EPSILON = 1e-9;

  /**
   * Returns the share of this domain's reads that each member gets.
   *
   * @param members The members that may serve reads.
   * @return The shares by the identifiers of the members; their sum is one unless there are none.
   */
  public Map<String, Double> shares(List<ReaderCandidate> members) {
    Map<String, Double> demand = demand();
    Map<String, Double> capacity = capacity(members);
    Map<String, Double> own = new HashMap<>();
    members.forEach(member -> own.put(member.id(), 0.0));
    Map<String, String> domains =
        members.stream().collect(Collectors.toMap(ReaderCandidate::id, ReaderCandidate::domain));
    serve(demand, capacity, domains, domain -> domain, own);
    serve(demand, capacity, domains, domain -> regions.getOrDefault(domain, domain), own);
    serve(demand, capacity, domains, domain -> "", own);
    double total = own.values().stream().mapToDouble(Double::doubleValue).sum();
    own.replaceAll(
        (id, share) -> total > EPSILON ? share / total : 1.0 / Math.max(1, members.size()));
    return own;
  }

  /** Returns the demand of each domain; the sum is one. */
  private Map<String, Double> demand() {
    Map<String, Integer> counts = new HashMap<>(proxies);
    counts.putIfAbsent(ownDomain, 1);
    double total = counts.values().stream().mapToInt(Integer::intValue).sum();
    Map<String, Double> demand = new HashMap<>();
    counts.forEach((domain, count) -> demand.put(domain, count / Math.max(1, total)));
    return demand;
  }

  /**
   * Returns the share of all reads that each member is to get, which is less for the primary by
   * what only it may run; the sum is one.
   */
  private Map<String, Double> capacity(List<ReaderCandidate> members) {
    OptionalDouble fastest =
        members.stream().flatMapToDouble(member -> member.replicaResponseNanos().stream()).min();
    double total = members.stream().mapToDouble(member -> speed(member, fastest)).sum();
    Map<String, Double> capacity = new HashMap<>();
    for (ReaderCandidate member : members) {
      double share = speed(member, fastest) / total;
      capacity.put(member.id(), Math.max(0, share - (member.primary() ? primaryOnlyShare : 0)));
    }
    double rest = capacity.values().stream().mapToDouble(Double::doubleValue).sum();
    capacity.replaceAll((id, share) -> rest > EPSILON ? share / rest : 0);
    return capacity;
  }

  /** Returns the slots of a member, fewer if it responds much later than the fastest replica. */
  private static double speed(ReaderCandidate member, OptionalDouble fastest) {
    double ratio =
        member.replicaResponseNanos().isPresent()
            ? member.replicaResponseNanos().getAsDouble() / fastest.orElseThrow()
            : 1;
    return Math.max(1, member.slots()) / (ratio > SLOW_RATIO ? ratio : 1);
  }

  /**
   * Lets the members of each group of domains serve the demand of that group as far as their
   * capacity lasts; lowers both by what is served.
   *
   * @param group Returns the group of a domain.
   * @param own Receives what each member serves for this proxy's domain.
   */
  private void serve(
      Map<String, Double> demand,
      Map<String, Double> capacity,
      Map<String, String> domains,
      Function<String, String> group,
      Map<String, Double> own) {
    Map<String, Double> groupDemand = new HashMap<>();
    demand.forEach((domain, amount) -> groupDemand.merge(group.apply(domain), amount, Double::sum));
    Map<String, Double> groupCapacity = new HashMap<>();
    capacity.forEach(
        (id, amount) -> groupCapacity.merge(group.apply(domains.get(id)), amount, Double::sum));
    String ownGroup = group.apply(ownDomain);
    double served = servedPart(ownGroup, groupDemand, groupCapacity);
    capacity.forEach(
        (id, amount) -> {
          double available = groupCapacity.getOrDefault(ownGroup, 0.0);
          if (group.apply(domains.get(id)).equals(ownGroup) && available > EPSILON) {
            own.merge(id, demand.get(ownDomain) * served * amount / available, Double::sum);
          }
        });
    capacity.replaceAll(
        (id, amount) -> {
          String of = group.apply(domains.get(id));
          double available = groupCapacity.get(of);
          double used =
              groupDemand.getOrDefault(of, 0.0) * servedPart(of, groupDemand, groupCapacity);
          return available > EPSILON ? amount * Math.max(0, 1 - used / available) : 0;
        });
    demand.replaceAll(
        (domain, amount) ->
            amount * (1 - servedPart(group.apply(domain), groupDemand, groupCapacity)));
  }

  /** Returns the part of a group's demand that its capacity suffices for. */
  private static double servedPart(
      String group, Map<String, Double> demand, Map<String, Double> capacity) {
    double wanted = demand.getOrDefault(group, 0.0);
    return wanted > EPSILON ? Math.min(1, capacity.getOrDefault(group, 0.0) / wanted) : 1;
  }
}
