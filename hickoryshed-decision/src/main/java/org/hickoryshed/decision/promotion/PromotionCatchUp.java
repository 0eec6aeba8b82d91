package org.hickoryshed.decision.promotion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Compares the logs of the members of a database after the proxies stopped to use its primary, to
 * tell whether a replica holds all acknowledged commits.
 *
 * <p>If all other replicas that reported are paused, that includes the commits of a proxy that goes
 * on using the primary: none is confirmed any more without this replica. What the primary holds
 * beyond that is not acknowledged.
 */
public final class PromotionCatchUp {

  private final PromotionQuorum quorum;

  /** The end of the log of each replica that reported it, by the identifier of the replica. */
  private final Map<String, LogPosition> replicas;

  /** The end of the primary's log, empty if no primary reported it. */
  private final Optional<LogPosition> primary;

  private final Set<String> pausedReplicas;

  private PromotionCatchUp(Builder builder) {
    quorum = builder.quorum;
    replicas = Map.copyOf(builder.replicas);
    primary = builder.primary;
    pausedReplicas = Set.copyOf(builder.pausedReplicas);
  }

  /**
   * Starts to collect the ends of the logs.
   *
   * @param quorum Tells how many replicas must report them.
   * @return A builder without any log.
   */
  public static Builder builder(PromotionQuorum quorum) {
    return new Builder(quorum);
  }

  /**
   * Checks whether a replica holds all acknowledged commits.
   *
   * @param replica The identifier of the replica.
   * @return {@code false} also if too few replicas reported the ends of their logs.
   */
  public boolean holdsAllCommits(String replica) {
    LogPosition end = replicas.get(replica);
    return end != null
        && quorum.isReachedBy(replicas.size())
        && replicas.values().stream().noneMatch(end::isBehind)
        && (areOthersPaused(replica) || primary.filter(end::isBehind).isEmpty());
  }

  private boolean areOthersPaused(String replica) {
    return replicas.keySet().stream()
        .allMatch(other -> other.equals(replica) || pausedReplicas.contains(other));
  }

  /** Collects the ends of the logs of the members. */
  public static final class Builder {

    private final PromotionQuorum quorum;

    private final Map<String, LogPosition> replicas = new HashMap<>();

    private final Set<String> pausedReplicas = new HashSet<>();

    private Optional<LogPosition> primary = Optional.empty();

    private Builder(PromotionQuorum quorum) {
      this.quorum = quorum;
    }

    /**
     * Adds a replica that receives nothing more.
     *
     * @param replica The identifier of the replica.
     * @param end The end of its log in the term that it is in.
     * @return This builder.
     */
    public Builder addPausedReplica(String replica, LogPosition end) {
      pausedReplicas.add(replica);
      return addReplica(replica, end);
    }

    /**
     * Adds a replica.
     *
     * @param replica The identifier of the replica.
     * @param end The end of its log in the term that it is in.
     * @return This builder.
     */
    public Builder addReplica(String replica, LogPosition end) {
      replicas.put(replica, end);
      return this;
    }

    /**
     * Adds the primary. Its log may end behind the last acknowledged commit.
     *
     * @param end The end of its log in the term that it is in.
     * @return This builder.
     */
    public Builder addPrimary(LogPosition end) {
      primary = Optional.of(end);
      return this;
    }

    /** Returns the comparison of the logs that were added. */
    public PromotionCatchUp build() {
      return new PromotionCatchUp(this);
    }
  }
}
