package org.hickoryshed.session.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hickoryshed.decision.promotion.PrimaryFailureVote;
import org.hickoryshed.decision.promotion.PromotionCandidate;
import org.hickoryshed.decision.promotion.PromotionQuorum;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Monitors the primaries of all pools and replaces a primary that failed or is leaving.
 *
 * <p>A suspected failure leads to a vote of the proxies. If they agree, the monitor collects the
 * status of the other members and requests the promotion of the best one. A primary that is leaving
 * is replaced without a vote.
 *
 * <p>All methods run on the event loop; only the promotion request itself runs on the thread of
 * {@link PromotionCoordinator}.
 */
public final class PrimaryMonitor implements PeerNetwork.Listener, StoredPromotions.Listener {

  /** The interval at which the primaries of all pools are checked, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 200;

  /** The time after which a vote is decided without the missing responses, in milliseconds. */
  private static final long VOTE_TIMEOUT_MILLIS = 260;

  /** The pause after a failover that ended without a promotion, in milliseconds. */
  private static final long NO_PROMOTION_PAUSE_MILLIS = 350;

  /**
   * The pause after a promotion that this proxy requested was accepted, or after another proxy
   * announced that it recorded one, in milliseconds. The effect becomes visible in this time.
   */
  private static final long PROMOTION_PAUSE_MILLIS = 1300;

  /** The pause after a promotion request without a response, in milliseconds. */
  private static final long UNKNOWN_RESULT_PAUSE_MILLIS = 450;

  /**
   * The upper bound of the random delay before a leaving primary is replaced, in milliseconds. It
   * lets one proxy act first, so that the others can leave the failover to it.
   */
  private static final long MAX_LEAVING_JITTER_MILLIS = 250;

  /** The largest number of other proxies that take part in a vote. */
  private static final int MAX_VOTERS = 8;

  private final MemberContext context;

  private final PeerNetwork peers;

  private final PromotionCoordinator promotions;

  private final Function<String, Optional<Database>> databases;

  private final PrimaryProbe probe;

  private final PrimaryAnnouncer announcer;

  private final PrimaryFencing fencing;

  private final ReplicaPauses pauses;

  private final PromotionPreparation preparation;

  private final PrimaryReleaseRequest releases;

  /** The failover state of each pool by its name. */
  private final Map<String, PoolFailoverState> failovers = new HashMap<>();

  private long nextVoteId = 1;

  /**
   * Creates a monitor that is not yet started.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param peers The network of the other proxies.
   * @param promotions Requests promotions.
   * @param databases Finds a database by the name of its pool.
   */
  public PrimaryMonitor(
      MemberContext context,
      PeerNetwork peers,
      PromotionCoordinator promotions,
      Function<String, Optional<Database>> databases) {
    this.context = context;
    this.peers = peers;
    this.promotions = promotions;
    this.databases = databases;
    probe = new PrimaryProbe(context, databases);
    announcer = new PrimaryAnnouncer(context, peers, databases);
    fencing = new PrimaryFencing(context, databases);
    pauses = new ReplicaPauses(context, databases);
    preparation = new PromotionPreparation(context, databases, pauses);
    releases = new PrimaryReleaseRequest(context, peers);
  }

  /**
   * Starts to check all primaries periodically.
   *
   * @param pools The source of the names of all pools, read at each check.
   */
  public void start(Supplier<List<String>> pools) {
    // Each pool is checked in a task of its own, so that an exception costs one pool only.
    loop()
        .scheduleEvery(
            CHECK_INTERVAL_MILLIS,
            () -> pools.get().forEach(pool -> loop().schedule(0, () -> checkPrimary(pool))));
  }

  /**
   * Starts a vote on whether a primary failed, unless a failover of its pool is in progress or
   * paused.
   *
   * @param pool The name of the pool.
   * @param reason What was observed, for the log.
   */
  public void onPrimarySuspected(String pool, String reason) {
    PoolFailoverState failover = failovers.computeIfAbsent(pool, this::newFailover);
    if (failover.stage != PoolFailoverState.Stage.IDLE || failover.isPaused(loop().now())) {
      return;
    }
    failover.stage = PoolFailoverState.Stage.VOTING;
    failover.reason = reason;
    failover.voteId = nextVoteId++;
    List<String> voters = peers.recentPeers().stream().limit(MAX_VOTERS).toList();
    failover.vote = new PrimaryFailureVote(voters.size() + 1);
    String member =
        databases.apply(pool).flatMap(Database::claimedPrimary).map(p -> p.entry().id()).orElse("");
    log()
        .event("primary-doubted")
        .with("pool", pool)
        .with("member", member)
        .with("reason", reason)
        .with("voters", voters.size())
        .write();
    voters.forEach(
        voter ->
            peers.send(voter, new PeerMessage.PrimaryProbeRequest(pool, member, failover.voteId)));
    long voteId = failover.voteId;
    probe.start(
        pool,
        member,
        reachable -> onVoteReceived(failover, voteId, context.processName(), reachable));
    loop().schedule(VOTE_TIMEOUT_MILLIS, () -> evaluateVote(failover, voteId, true));
  }

  @Override
  public void onMessage(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.PrimaryProven primary ->
          databases
              .apply(primary.pool())
              .ifPresent(
                  database -> database.recordPrimary(primary.member(), primary.term(), from));
      case PeerMessage.PrimaryProbeRequest request -> {
        announcer.correctOutdatedPrimary(from, request);
        probe.start(
            request.pool(),
            request.member(),
            reachable ->
                peers.send(
                    from, new PeerMessage.PrimaryProbeResponse(request.voteId(), reachable)));
      }
      case PeerMessage.PrimaryProbeResponse response ->
          failovers.values().stream()
              .filter(failover -> failover.voteId == response.voteId())
              .forEach(
                  failover ->
                      onVoteReceived(failover, response.voteId(), from, response.reachable()));
      case PeerMessage.PromotionRecorded promotion -> {
        onPromotion(from, promotion.pool(), promotion.member());
        releases.promise(from, promotion);
      }
      case PeerMessage.PromotionPromised promise -> releases.onPromise(from, promise);
      default -> {
        // Other messages do not concern primaries.
      }
    }
  }

  @Override
  public void onPromotion(String holder, String pool, String member) {
    yieldTo(holder, failovers.computeIfAbsent(pool, this::newFailover));
    promotions.onPromotionAnnounced(pool);
    onPromotionRecorded(pool, member);
  }

  /**
   * Pauses the failover of a pool, because another proxy announced that it recorded a promotion.
   *
   * <p>A vote in progress is ended. A failover in a later stage keeps its stage: the replacement of
   * a leaving primary that still waits for its random delay is dropped when the delay ends during
   * the pause, but a status collection or promotion request that has started continues.
   */
  private void yieldTo(String proxy, PoolFailoverState failover) {
    log().event("takeover-left").with("pool", failover.pool).with("holder", proxy).write();
    if (failover.stage == PoolFailoverState.Stage.VOTING) {
      failover.stage = PoolFailoverState.Stage.IDLE;
    }
    failover.pause(loop().now(), PROMOTION_PAUSE_MILLIS);
  }

  /**
   * Starts a vote if the primary of a pool is unknown or unreachable, or replaces it if it is
   * leaving.
   */
  private void checkPrimary(String pool) {
    Optional<Database> database = databases.apply(pool);
    if (database.isEmpty() || database.get().connectionPools().isEmpty()) {
      return;
    }
    fencing.deposeReplacedPrimaries(database.get());
    Optional<MemberConnectionPool> primary = database.get().claimedPrimary();
    PoolFailoverState failover = failovers.computeIfAbsent(pool, this::newFailover);
    if (primary.isEmpty()) {
      onPrimarySuspected(pool, "no member claims to be the primary");
    } else if (!primary.get().isReachable()) {
      onPrimarySuspected(pool, "the primary is unreachable");
    } else if (primary.get().entry().draining()
        && failover.stage == PoolFailoverState.Stage.IDLE
        && !failover.isPaused(loop().now())) {
      failover.stage = PoolFailoverState.Stage.COLLECTING_STATUS;
      failover.reason = "the primary is leaving";
      loop()
          .schedule(
              ThreadLocalRandom.current().nextLong(MAX_LEAVING_JITTER_MILLIS),
              () -> {
                if (failover.stage == PoolFailoverState.Stage.COLLECTING_STATUS
                    && !failover.isPaused(loop().now())) {
                  collectStatuses(failover);
                } else {
                  failover.stage = PoolFailoverState.Stage.IDLE;
                }
              });
    }
  }

  /**
   * Counts the response of one proxy, including this one. A proxy that reaches the primary is
   * recorded, so that statements can be relayed through it.
   */
  private void onVoteReceived(
      PoolFailoverState failover, long voteId, String proxy, boolean reachable) {
    if (failover.stage == PoolFailoverState.Stage.VOTING && failover.voteId == voteId) {
      failover.vote.recordResponse(proxy, reachable);
      if (reachable && !proxy.equals(context.processName())) {
        databases
            .apply(failover.pool)
            .flatMap(Database::claimedPrimary)
            .ifPresent(
                primary -> context.sharing().get().recordPeerReaching(primary.entry().id(), proxy));
      }
      evaluateVote(failover, voteId, false);
    }
  }

  /**
   * Decides a vote if possible.
   *
   * @param failover The failover that the vote belongs to.
   * @param voteId The identifier of the vote.
   * @param over True if the vote has timed out.
   */
  private void evaluateVote(PoolFailoverState failover, long voteId, boolean over) {
    if (failover.stage != PoolFailoverState.Stage.VOTING || failover.voteId != voteId) {
      return;
    }
    switch (failover.vote.verdict(over)) {
      case FAILED -> {
        failover.stage = PoolFailoverState.Stage.COLLECTING_STATUS;
        collectStatuses(failover);
      }
      case ALIVE -> keepPrimary(failover, "a proxy reaches the primary");
      case OPEN -> {
        if (over) {
          databases.apply(failover.pool).ifPresent(Database::markCutOff);
          keepPrimary(failover, "too few proxies responded");
        }
      }
    }
  }

  /**
   * Ends a failover for which no promotion is requested, and pauses the next one.
   *
   * <p>The primary is not necessarily alive: the vote may also have had too few responses, no
   * member to promote may be reachable, or the queue of promotion requests may be full.
   *
   * @param reason Why no promotion is requested, for the log.
   */
  private void keepPrimary(PoolFailoverState failover, String reason) {
    log().event("primary-kept").with("pool", failover.pool).with("reason", reason).write();
    failover.stage = PoolFailoverState.Stage.IDLE;
    failover.pause(loop().now(), NO_PROMOTION_PAUSE_MILLIS);
  }

  /** Asks all reachable members, a reachable primary included, for their status. */
  private void collectStatuses(PoolFailoverState failover) {
    Optional<Database> database = databases.apply(failover.pool);
    if (database.stream()
        .flatMap(known -> known.connectionPools().stream())
        .noneMatch(MemberConnectionPool::isReachable)) {
      keepPrimary(failover, "no member is reachable");
      return;
    }
    if (!database.get().isConfigured()) {
      keepPrimary(failover, "the configuration of the pool is not known");
      return;
    }
    new MemberStatusSurvey(database.get())
        .start(reports -> onStatusesCollected(failover, database.get(), reports));
  }

  /**
   * Chooses the next step from the status of the members.
   *
   * @param failover The failover.
   * @param reports The status reports; empty for members that did not respond in time. Their last
   *     known log position counts as received if the primary acknowledges commits that no replica
   *     holds; otherwise they can't be promoted.
   */
  private void onStatusesCollected(
      PoolFailoverState failover,
      Database database,
      Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
    log()
        .event("member-statuses")
        .with("pool", failover.pool)
        .with("reports", MemberStatusSurvey.describe(reports))
        .write();
    PromotionQuorum quorum = database.promotionQuorum();
    Optional<MemberConnectionPool> primary = database.claimedPrimary();
    List<PromotionCandidate> candidates = new ArrayList<>();
    Optional<PrimaryFencing.Incumbent> incumbent = Optional.empty();
    for (Map.Entry<MemberConnectionPool, Optional<MemberStatusReport>> entry : reports.entrySet()) {
      MemberConnectionPool pool = entry.getKey();
      Optional<MemberStatusReport> report = entry.getValue();
      boolean isPrimary = report.map(MemberStatusReport::primary).orElse(false);
      if (isPrimary && !pool.entry().draining()) {
        announcer.announcePrimary(failover.pool, pool.entry().id(), report.get().term());
        keepPrimary(failover, "a reachable member is the primary: " + pool.entry().id());
        return;
      }
      if (isPrimary) {
        incumbent = Optional.of(new PrimaryFencing.Incumbent(pool, report.get().term()));
      } else if (primary.filter(pool::equals).isEmpty()
          && (report.isPresent() || !quorum.protectsCommits())) {
        candidates.add(
            new PromotionCandidate(
                pool.entry().id(),
                report.map(known -> logEnd(quorum, known)).orElse(pool.position()),
                !pool.entry().draining(),
                context.oneWayLatencyMillis(pool.entry().domain())));
      }
    }
    if (!quorum.isReachedBy(candidates.size())) {
      keepPrimary(
          failover,
          "only %d of %d replicas reported their logs, %d are needed"
              .formatted(candidates.size(), quorum.replicas(), quorum.requiredReports()));
    } else if (candidates.isEmpty()) {
      keepPrimary(failover, "no other member to promote is reachable");
    } else {
      promoteBest(failover, quorum, candidates, incumbent);
    }
  }

  private static LogPosition logEnd(PromotionQuorum quorum, MemberStatusReport report) {
    return quorum.protectsCommits() ? report.end() : report.received();
  }

  /**
   * Requests the promotion of the best candidate.
   *
   * @param failover The failover.
   * @param quorum Tells if the primary acknowledges commits only once replicas hold them.
   * @param candidates The members that may be promoted, at least one.
   * @param incumbent The leaving primary, empty if no reachable member is the primary.
   */
  private void promoteBest(
      PoolFailoverState failover,
      PromotionQuorum quorum,
      List<PromotionCandidate> candidates,
      Optional<PrimaryFencing.Incumbent> incumbent) {
    Optional<PromotionCandidate> best =
        quorum.protectsCommits()
            ? PromotionCandidate.chooseWithLatestLog(candidates)
            : PromotionCandidate.choose(candidates);
    PromotionCandidate chosen = best.orElseThrow();
    failover.stage = PoolFailoverState.Stage.PROMOTING;
    log()
        .event("takeover-decided")
        .with("pool", failover.pool)
        .with("member", chosen.member())
        .with("received", chosen.received())
        .with("candidates", candidates.size())
        .with("reason", failover.reason)
        .write();
    boolean queued =
        promotions.requestPromotion(
            failover.pool,
            chosen.member(),
            failover.reason,
            () -> prepare(failover.pool, chosen.member(), quorum.protectsCommits()),
            () -> loop().submit(() -> incumbent.ifPresent(fencing::depose)),
            result -> loop().submit(() -> onPromotionResult(failover, chosen.member(), result)));
    if (!queued) {
      keepPrimary(failover, "the queue of promotion requests is full");
    }
  }

  /**
   * Tells the proxies that a promotion is recorded; where replicas confirm commits, or the platform
   * does not fence the replaced primary, waits until it may be requested. Called on the thread of
   * the coordinator.
   *
   * @return {@code false} if the promotion must not be requested.
   */
  private boolean prepare(String pool, String member, boolean protectsCommits) {
    Runnable announcement = () -> announcePromotion(pool, member);
    if (!context.fencedByPlatform().getAsBoolean() && !releases.await(pool, member, announcement)) {
      return false;
    }
    if (protectsCommits) {
      return preparation.prepare(pool, member, announcement);
    }
    return !context.fencedByPlatform().getAsBoolean() || loop().submit(announcement);
  }

  private void announcePromotion(String pool, String member) {
    announcer.broadcast(new PeerMessage.PromotionRecorded(pool, member));
    onPromotionRecorded(pool, member);
  }

  private void onPromotionRecorded(String pool, String member) {
    fencing.onPromotionRecorded(pool, member);
    pauses.onPromotionRecorded(pool, member);
  }

  private void onPromotionResult(
      PoolFailoverState failover, String member, PromotionCoordinator.PromotionResult result) {
    context.metrics().counter("takeovers", "result", result.name()).inc();
    failover.stage = PoolFailoverState.Stage.IDLE;
    switch (result) {
      case ACCEPTED -> {
        pauses.onPromotionAccepted(failover.pool);
        failover.pause(loop().now(), PROMOTION_PAUSE_MILLIS);
        announcer.awaitPrimary(failover.pool, member);
      }
      case UNKNOWN -> failover.pause(loop().now(), UNKNOWN_RESULT_PAUSE_MILLIS);
      case REFUSED, NOT_HOLDER, NOT_PREPARED -> {
        pauses.resume(failover.pool);
        failover.pause(loop().now(), NO_PROMOTION_PAUSE_MILLIS);
      }
    }
  }

  private PoolFailoverState newFailover(String pool) {
    return new PoolFailoverState(pool, loop().now());
  }

  private EventLoop loop() {
    return context.loop();
  }

  private EventLog log() {
    return context.log();
  }
}
