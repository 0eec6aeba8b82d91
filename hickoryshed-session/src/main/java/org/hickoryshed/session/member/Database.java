package org.hickoryshed.session.member;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.freshness.FloorHistory;
import org.hickoryshed.decision.promotion.DepartedReplicas;
import org.hickoryshed.decision.promotion.PrimaryClaims;
import org.hickoryshed.decision.promotion.PromotionQuorum;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Tracks the members of one database, which of them is the primary, and the recent floors.
 *
 * <p>A floor is a log position that covers every commit acknowledged before a known moment. A
 * replica whose log holds it can serve a read that must see those commits. Floors come from
 * responses of the primary and from other proxies.
 *
 * <p>Confined to the thread of the event loop.
 */
public final class Database {

  /** The connection limit of a member until the configuration is known. */
  private static final int DEFAULT_CONNECTION_LIMIT = 8;

  /** How long a member that responded with NOT_PRIMARY is not used as the primary. */
  private static final long NOT_PRIMARY_MILLIS = 300;

  /** How long this process counts as cut off after the last check that found it so. */
  private static final long CUT_OFF_MILLIS = 1200;

  /**
   * The least time from the record of a promotion until it takes effect, in milliseconds. A success
   * of the replaced primary that arrives later is not passed on.
   */
  public static final long MIN_PROMOTION_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MemberContext context;

  /** Receives the name of a pool whose primary is suspected to have failed, and the reason. */
  private final BiConsumer<String, String> primarySuspected;

  /** The members by their identifiers. */
  private final Map<String, DatabaseMember> members = new LinkedHashMap<>();

  /** The members that claim to be the primary, or proved it. */
  private final PrimaryClaims claims = new PrimaryClaims();

  private final FloorHistory floors = new FloorHistory();
  private final FloorRequests floorRequests;
  private final ReaderBalancer readers;

  /**
   * Until when this process counts as cut off from the primary and most proxies, in nanoseconds of
   * the monotonic clock.
   */
  private long cutOffUntil;

  /** The maximum number of connections to one member, over all proxies. */
  private int connectionLimit = DEFAULT_CONNECTION_LIMIT;

  /** True once the configuration of the pool was received. */
  private boolean configured;

  /** The number of replicas that hold a commit before the primary acknowledges it. */
  private int confirmingReplicas;

  private final DepartedReplicas departedReplicas = new DepartedReplicas();

  private final PrimaryRights rights;

  /** Tells if a member has an entry in the directory; one whose entry ended stays for a while. */
  private final Predicate<String> registered;

  /**
   * Creates a database without members.
   *
   * @param context The dependencies that all pools share.
   * @param primarySuspected Receives the name of a pool whose primary is suspected to have failed,
   *     and the reason.
   * @param peerFloorRequests Requests a floor of a database from other proxies; a floor that comes
   *     back is passed to {@link #onPeerFloor}.
   * @param registered Tells by its identifier if a member has an entry in the directory.
   */
  public Database(
      MemberContext context,
      BiConsumer<String, String> primarySuspected,
      Consumer<Database> peerFloorRequests,
      Predicate<String> registered) {
    this.context = context;
    this.registered = registered;
    this.primarySuspected = primarySuspected;
    floorRequests = new FloorRequests(context.loop(), this, peerFloorRequests);
    readers = new ReaderBalancer(context, this);
    cutOffUntil = context.loop().now();
    rights = new PrimaryRights(context);
  }

  /** Returns the right of this process to use the primary. */
  public PrimaryRights rights() {
    return rights;
  }

  /** Returns the recent floors; not a copy. */
  public FloorHistory floors() {
    return floors;
  }

  /** Returns the maximum number of connections to one member, over all proxies. */
  int connectionLimit() {
    return connectionLimit;
  }

  /** Applies the configuration of the pool. */
  public void configure(DesiredState.PoolEntry configuration) {
    configured = true;
    connectionLimit = configuration.connections();
    confirmingReplicas = configuration.confirmingReplicas();
    connectionPools().forEach(pool -> pool.update(pool.entry()));
  }

  /**
   * Checks if the configuration of the pool is known, and with it what a promotion has to protect.
   */
  public boolean isConfigured() {
    return configured;
  }

  /**
   * Returns how many replicas must report their logs before one of them is promoted. It is valid
   * only once the pool {@link #isConfigured() is configured}.
   *
   * <p>A replica counts as long as it may alone hold an acknowledged commit. One that announced its
   * end and has gone does not once its successor, which has its log, is there.
   */
  public PromotionQuorum promotionQuorum() {
    Optional<MemberConnectionPool> primary = claimedPrimary();
    long replicas =
        members.values().stream()
            .filter(member -> primary.filter(member.pool::equals).isEmpty())
            .map(member -> member.pool.entry())
            .filter(entry -> registered.test(entry.id()) || !hasSuccessor(entry))
            .count();
    return new PromotionQuorum((int) replicas + departedReplicas.count(), confirmingReplicas);
  }

  /**
   * Records that the primary acknowledged a commit.
   *
   * @param sentAt When the commit was sent.
   */
  public void onCommitAcknowledged(ClockReading sentAt) {
    departedReplicas.recordCommit(sentAt.monotonicNanos());
  }

  /**
   * Adds a member or updates its directory entry, and records whether it claims to be the primary.
   *
   * <p>An entry of another incarnation of a known member replaces the pool of the previous one.
   */
  public void put(MemberEntry entry) {
    DatabaseMember known = members.get(entry.id());
    departedReplicas.recordRegistration(entry);
    boolean sameIncarnation = known != null && known.pool.entry().isSameIncarnation(entry);
    if (known != null && !sameIncarnation) {
      recordDeparture(known.pool);
    }
    if (!entry.primary()) {
      claims.removeClaim(entry.id());
    } else if (!sameIncarnation || !known.pool.entry().primary()) {
      recordClaim(entry.id());
    }
    if (sameIncarnation) {
      known.pool.update(entry);
      known.onEntry(context.loop().now());
      known.notPrimaryUntil = context.loop().now();
      return;
    }
    if (known != null) {
      known.pool.retire();
    }
    DatabaseMember added =
        new DatabaseMember(new MemberConnectionPool(context, this, entry), context.loop().now());
    members.put(entry.id(), added);
    added.pool.openKeptConnection();
  }

  private void recordClaim(String id) {
    if (context.fencedByPlatform().getAsBoolean()) {
      claims.recordClaim(id);
    } else {
      claims.recordClaimBehindProof(id);
    }
  }

  /** Removes a member; does nothing if it is not known. */
  public void remove(String id) {
    DatabaseMember known = members.get(id);
    if (known != null) {
      recordDeparture(known.pool);
      known.pool.retire();
    }
    members.remove(id);
    claims.removeClaim(id);
  }

  /** Records the end of an incarnation, unless it is the primary or its successor is there. */
  private void recordDeparture(MemberConnectionPool pool) {
    boolean primary = claimedPrimary().filter(pool::equals).isPresent();
    if (!primary && !hasSuccessor(pool.entry())) {
      departedReplicas.recordDeparture(pool.entry(), context.loop().now());
    }
  }

  private boolean hasSuccessor(MemberEntry leaving) {
    return members.values().stream().anyMatch(member -> member.pool.entry().isSuccessorOf(leaving));
  }

  /** Records that neither the primary nor enough other proxies respond to this process. */
  public void markCutOff() {
    cutOffUntil = context.loop().now() + CUT_OFF_MILLIS * NANOS_PER_MILLI;
  }

  /**
   * Checks if this process was recently found to be cut off from the primary and from most proxies,
   * or has no right to use the primary.
   *
   * <p>If so, a caller does better to send statements for the primary to another proxy, which may
   * still reach it.
   */
  public boolean isCutOff() {
    return cutOffUntil - context.loop().now() > 0
        || claimedPrimary().map(pool -> rights.isOutOfTouch(pool.entry().id())).orElse(false);
  }

  /** Returns a snapshot of the connection pools of all members. */
  public Collection<MemberConnectionPool> connectionPools() {
    return members.values().stream().map(member -> member.pool).toList();
  }

  /** Returns the connection pool of a member, empty if there is no member with this identifier. */
  public Optional<MemberConnectionPool> connectionPool(String id) {
    return Optional.ofNullable(members.get(id)).map(member -> member.pool);
  }

  /**
   * Finds the member to use as the primary.
   *
   * @return The pool of the member with the latest claim to be the primary, without those that
   *     recently responded that they are not; empty if there is none that may be used. A leaving
   *     primary may not be used any more when its drain period ends, even if it was not replaced.
   */
  public Optional<MemberConnectionPool> primary() {
    long now = context.loop().now();
    return claimants()
        .filter(member -> member.notPrimaryUntil - now <= 0 && !member.isSuspended(now))
        .filter(member -> !member.isDrained(now, context.drainPeriod().get()))
        .map(member -> member.pool)
        .findFirst()
        .filter(pool -> rights.mayUse(pool.entry().id()));
  }

  /**
   * Finds the member with the latest claim to be the primary, even if it recently responded that it
   * is not.
   *
   * @return The pool of the member, empty if none claims to be the primary.
   */
  public Optional<MemberConnectionPool> claimedPrimary() {
    return claimants().map(member -> member.pool).findFirst();
  }

  /**
   * Returns the term in which the {@link #claimedPrimary} proved to be the primary.
   *
   * @return The term, empty if the member only claims to be the primary.
   */
  public OptionalLong provenTerm() {
    return claims.isLatestProven() ? OptionalLong.of(claims.provenTerm()) : OptionalLong.empty();
  }

  /**
   * Records that a member proved to be the primary.
   *
   * @param id The identifier of the member.
   * @param term The term in which it is the primary.
   * @param source How this process learned it, for the log.
   * @return {@code true} if another member, or none, counted as the primary before; {@code false}
   *     also for an unknown member and for a term that is not newer than the latest proven one.
   */
  public boolean recordPrimary(String id, long term, String source) {
    DatabaseMember member = members.get(id);
    if (member == null || !claims.recordProof(id, term)) {
      return false;
    }
    member.notPrimaryUntil = context.loop().now();
    member.suspendedUntil = context.loop().now();
    rights.onProof(id);
    departedReplicas.recordPromotion();
    floors.observeTerm(term);
    context
        .log()
        .event("member-leads")
        .with("member", id)
        .with("pool", member.pool.entry().pool())
        .with("term", term)
        .with("source", source)
        .write();
    return true;
  }

  /**
   * Stops using the current primary for a while, because it is about to be replaced. It is used
   * again at once if it proves a later term.
   *
   * @param successor The identifier of the member that is to become the primary; if it is the
   *     current one, nothing is stopped.
   * @param millis The time in milliseconds.
   */
  public void suspendPrimaryUnless(String successor, long millis) {
    rights.promise(successor, millis);
    claimants()
        .findFirst()
        .filter(member -> !member.pool.entry().id().equals(successor))
        .ifPresent(member -> member.suspend(context.loop().now(), millis));
  }

  /**
   * Checks if a member is not used as the primary because it is about to be replaced.
   *
   * @param pool The connections to the member.
   */
  public boolean isSuspended(MemberConnectionPool pool) {
    DatabaseMember member = members.get(pool.entry().id());
    return rights.isPromisedAway(pool.entry().id())
        || (member != null && member.isSuspended(context.loop().now()));
  }

  /**
   * Checks if a member that was used as the primary may have been replaced already, so that what it
   * commits now may be lost.
   *
   * @param pool The connections to the member.
   */
  public boolean mayHaveBeenReplaced(MemberConnectionPool pool) {
    DatabaseMember member = members.get(pool.entry().id());
    return !rights.wasPrimaryAt(pool.entry().id(), context.loop().readClocks())
        || (member != null
            && member.isSuspended(context.loop().now())
            && context.loop().now() - member.suspendedSince
                > MIN_PROMOTION_MILLIS * NANOS_PER_MILLI);
  }

  /** Returns the members that claim to be the primary, or proved it, the latest one first. */
  private Stream<DatabaseMember> claimants() {
    return claims.byRecency().stream().map(members::get).filter(Objects::nonNull);
  }

  /** Returns what chooses the member for a read that the primary or any replica may serve. */
  public ReaderBalancer readers() {
    return readers;
  }

  /**
   * Handles a member that responded that it is not the primary: it is not used as one for a while.
   */
  public void onNotPrimary(MemberConnectionPool pool) {
    DatabaseMember member = members.get(pool.entry().id());
    boolean firstReport = member != null && member.notPrimaryUntil - context.loop().now() <= 0;
    if (firstReport && member.pool == pool) {
      member.notPrimaryUntil = context.loop().now() + NOT_PRIMARY_MILLIS * NANOS_PER_MILLI;
      context
          .log()
          .event("member-lost-lead")
          .with("member", pool.entry().id())
          .with("pool", pool.entry().pool())
          .write();
      onSuspected(pool, "the member is no longer the primary");
    }
  }

  /**
   * Adds a floor from a response that proves that the member was the primary.
   *
   * @param primary The member, which is ignored if it may have been replaced by then.
   * @param sentAt When the statement was sent; the floor covers all commits acknowledged before.
   * @param position The log position in the response.
   */
  public void addFloor(MemberConnectionPool primary, ClockReading sentAt, LogPosition position) {
    if (rights.wasPrimaryAt(primary.entry().id(), sentAt)) {
      floors.add(sentAt, position);
    }
  }

  /**
   * Requests a fresh floor and runs an action when it arrives or can't be obtained.
   *
   * @param action Run at the latest after the timeout; it has to check {@link #floors} itself.
   */
  public void awaitFloor(Runnable action) {
    floorRequests.await(action);
  }

  /**
   * Adds a floor that another proxy sent and runs the actions that wait for one.
   *
   * @param floor The floor, its time converted to the clocks of this process.
   */
  public void onPeerFloor(FloorHistory.Floor floor) {
    floors.add(floor.sentAt(), floor.position());
    floorRequests.runWaiting();
  }

  /**
   * Closes surplus idle connections of all members and opens missing ones.
   *
   * <p>Called periodically.
   */
  public void maintainConnections() {
    members.values().forEach(member -> member.pool.closeIdle());
    members.values().stream()
        .map(member -> member.pool)
        .filter(MemberConnectionPool::isDirectlyReachable)
        .forEach(MemberConnectionPool::openKeptConnection);
  }

  /** Handles a member that accepts connections again after a failure. */
  void onReachable(MemberConnectionPool pool) {
    context
        .log()
        .event("member-reachable")
        .with("member", pool.entry().id())
        .with("pool", pool.entry().pool())
        .write();
  }

  /**
   * Handles a member that may have failed.
   *
   * @param reason What was observed, for the log.
   */
  void onSuspected(MemberConnectionPool pool, String reason) {
    context.metrics().counter("member_doubts", "pool", pool.entry().pool()).inc();
    if (claimedPrimary().filter(pool::equals).isPresent()) {
      primarySuspected.accept(pool.entry().pool(), reason);
    }
  }
}
