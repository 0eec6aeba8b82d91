package org.hickoryshed.session.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.hickoryshed.decision.balancing.Assessment;
import org.hickoryshed.decision.balancing.PrimaryWorkShare;
import org.hickoryshed.decision.balancing.ReadPlacement;
import org.hickoryshed.decision.balancing.ReaderCandidate;
import org.hickoryshed.decision.balancing.ReaderSelector;
import org.hickoryshed.decision.balancing.ReplicationLag;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Chooses the member of a database that serves a read which the primary or any replica may serve.
 *
 * <p>Confined to the thread of the event loop.
 */
public final class ReaderBalancer {

  /** Added to the estimated latency of a member in another region. */
  private static final double OTHER_REGION_PENALTY_NANOS = 20e6;

  /** Added to the estimated latency of a member in another failure domain of the same region. */
  private static final double OTHER_DOMAIN_PENALTY_NANOS = 3e6;

  private final MemberContext context;

  private final Database database;

  private final PrimaryWorkShare primaryWork;

  private final ReplicationLag lag = new ReplicationLag();

  ReaderBalancer(MemberContext context, Database database) {
    this.context = context;
    this.database = database;
    primaryWork = new PrimaryWorkShare(context.loop().now());
  }

  /** Checks if the load of the members is to be even. */
  public boolean isEven() {
    return context
        .balancing()
        .get()
        .isEven(context.connectionSharing().isShared(database.connectionLimit()));
  }

  /**
   * Records the response to a statement.
   *
   * @param sentAt When the statement was sent.
   * @param onlyPrimary True if no replica might have run the statement.
   */
  public void recordWork(ClockReading sentAt, boolean onlyPrimary) {
    long now = context.loop().now();
    primaryWork.record(now, now - sentAt.monotonicNanos(), onlyPrimary);
  }

  /**
   * Chooses the member for a read.
   *
   * @param excluded The identifiers of members that must not be chosen.
   * @param required The position that the member's log must hold.
   * @param workspace The workspace of the read, empty if it belongs to none.
   * @return The pool of the member, empty if none is usable.
   */
  public Optional<MemberConnectionPool> select(
      Set<String> excluded, LogPosition required, Optional<String> workspace) {
    Optional<MemberConnectionPool> selected =
        assess(excluded, required, workspace).member().flatMap(database::connectionPool);
    if (selected.filter(pool -> database.primary().filter(pool::equals).isEmpty()).isPresent()) {
      lag.onSent(ageMillis(required));
    }
    selected.ifPresent(
        pool -> context.metrics().counter("reads_placed", "domain", pool.entry().domain()).inc());
    return selected;
  }

  /** Records that a replica lacked a position. */
  public void onBehind(LogPosition required) {
    lag.onRefused(ageMillis(required));
  }

  private long ageMillis(LogPosition required) {
    return database.floors().ageMillis(context.loop().readClocks(), required);
  }

  /** Returns what {@link #select} would choose, and why. */
  public ReaderSelector.Selection assess(
      Set<String> excluded, LogPosition required, Optional<String> workspace) {
    if (!isEven()) {
      return assessNearest(excluded, required, workspace);
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return ReaderSelector.select(
        candidates(excluded, required, workspace),
        placement(),
        random.nextDouble(),
        random.nextDouble());
  }

  private ReaderSelector.Selection assessNearest(
      Set<String> excluded, LogPosition required, Optional<String> workspace) {
    WorkspaceHome home = new WorkspaceHome(workspace, database);
    Optional<String> nearest =
        database.connectionPools().stream()
            .filter(MemberConnectionPool::isUsable)
            .filter(pool -> !excluded.contains(pool.entry().id()))
            .min(
                Comparator.comparingDouble(
                    pool -> estimateLatency(pool) + home.connectionCostNanos(pool)))
            .map(pool -> pool.entry().id());
    return new ReaderSelector.Selection(
        nearest,
        candidates(excluded, required, workspace).stream()
            .map(candidate -> new Assessment(candidate, nearestVerdict(candidate, nearest)))
            .toList());
  }

  private static Assessment.Verdict nearestVerdict(
      ReaderCandidate candidate, Optional<String> nearest) {
    return candidate.obstacle().isPresent()
        ? new Assessment.Unable(candidate.obstacle().get())
        : new Assessment.Eligible(nearest.filter(candidate.id()::equals).isPresent() ? 1 : 0);
  }

  private ReadPlacement placement() {
    Map<String, Integer> proxies = context.connectionSharing().proxiesByDomain();
    return new ReadPlacement(context.domain(), context.regions(), proxies, primaryWork.value());
  }

  private List<ReaderCandidate> candidates(
      Set<String> excluded, LogPosition required, Optional<String> workspace) {
    WorkspaceHome home = new WorkspaceHome(workspace, database);
    Optional<MemberConnectionPool> primary = database.primary();
    Collection<MemberConnectionPool> pools = database.connectionPools();
    return pools.stream()
        .map(
            pool ->
                new ReaderCandidate(
                    pool.entry().id(),
                    pool.entry().domain(),
                    pool.entry().slots(),
                    primary.filter(pool::equals).isPresent(),
                    obstacle(pool, excluded, required),
                    pool.traffic().trust(),
                    pool.traffic().isFull(),
                    pool.busyCount(),
                    pool.traffic().report(),
                    workspace.isEmpty() ? pool.counts().idle() > 0 : home.hasConnection(pool)))
        .toList();
  }

  private Optional<ReaderCandidate.Obstacle> obstacle(
      MemberConnectionPool pool, Set<String> excluded, LogPosition required) {
    if (excluded.contains(pool.entry().id())) {
      return Optional.of(ReaderCandidate.Obstacle.TRIED_BEFORE);
    }
    if (!pool.isReachable()) {
      return Optional.of(ReaderCandidate.Obstacle.UNREACHABLE);
    }
    if (pool.entry().draining()) {
      return Optional.of(ReaderCandidate.Obstacle.LEAVING);
    }
    boolean mayServe = isEven() ? mayHold(pool, required) : pool.isUsable();
    return mayServe ? Optional.empty() : Optional.of(ReaderCandidate.Obstacle.BEHIND);
  }

  /** Checks if a member is known, or likely, to hold a position. */
  private boolean mayHold(MemberConnectionPool pool, LogPosition required) {
    boolean old =
        pool.traffic().holds(required)
            || database.primary().filter(pool::equals).isPresent()
            || lag.isPassed(ageMillis(required));
    return old && pool.traffic().mayHold(required);
  }

  /**
   * Estimates the latency of a statement at a member.
   *
   * @return The estimate in nanoseconds, with a penalty for another failure domain or region.
   */
  private double estimateLatency(MemberConnectionPool pool) {
    String domain = pool.entry().domain();
    double penalty = 0;
    if (!context.isSameRegion(domain)) {
      penalty = OTHER_REGION_PENALTY_NANOS;
    } else if (!domain.equals(context.domain())) {
      penalty = OTHER_DOMAIN_PENALTY_NANOS;
    }
    double busyShare = pool.busyCount() / (double) Math.max(1, pool.entry().slots());
    return pool.meanResponseNanos() * (1 + busyShare) + penalty;
  }
}
