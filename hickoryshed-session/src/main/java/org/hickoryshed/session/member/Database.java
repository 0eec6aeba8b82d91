package org.hickoryshed.session.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.freshness.FloorHistory;
import org.hickoryshed.decision.promotion.PrimaryClaims;
import org.hickoryshed.decision.topology.LogPosition;

/** What this process knows of one database: its members, its primary and its floors. */
public final class Database {

  /** The connections of a member before the desired state is known. */
  private static final int DEFAULT_CONNECTIONS = 8;

  /** The time that a member that lost the lead is not tried as primary, in milliseconds. */
  private static final long LOST_LEAD_MILLIS = 300;

  /** What a crossing between regions adds to the estimate of a member, in nanoseconds. */
  private static final double FAR_PENALTY_NANOS = 20e6;

  /** What a crossing between failure domains adds to the estimate of a member, in nanoseconds. */
  private static final double NEAR_PENALTY_NANOS = 3e6;

  /** The longest time to wait for a floor in milliseconds. */
  private static final long FLOOR_MILLIS = 120;

  /** The time for which a finding that this process is cut off stands, in milliseconds. */
  private static final long CUT_OFF_MILLIS = 1200;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** What all pools share. */
  private final MemberContext context;

  /** The receiver of the pool whose primary is in doubt, and of the reason. */
  private final BiConsumer<String, String> doubts;

  /** Asks other proxies for a floor of a database. */
  private final Consumer<Database> floorQuestions;

  /** The members by their identifiers. */
  private final Map<String, Member> members = new LinkedHashMap<>();

  /** Which members are said to lead. */
  private final PrimaryClaims claims = new PrimaryClaims();

  /** The recent floors. */
  private final FloorHistory floors = new FloorHistory();

  /** What waits for a floor. */
  private final List<Runnable> floorWaiters = new ArrayList<>();

  /**
   * The reading of the steady clock until which this process is taken to be cut off from the
   * primary while other proxies may reach it, in nanoseconds.
   */
  private long cutOffUntil;

  /** True while the primary is asked for its position. */
  private boolean askingPrimary;

  /** The highest number of connections to one member. */
  private int connectionLimit = DEFAULT_CONNECTIONS;

  /**
   * Creates a database without members.
   *
   * @param context What all pools share.
   * @param doubts The receiver of the pool whose primary is in doubt, and of the reason.
   * @param floorQuestions Asks other proxies for a floor of a database.
   */
  public Database(
      MemberContext context, BiConsumer<String, String> doubts, Consumer<Database> floorQuestions) {
    this.context = context;
    this.doubts = doubts;
    this.floorQuestions = floorQuestions;
    cutOffUntil = context.loop().now();
  }

  /**
   * Returns the recent floors.
   *
   * @return The floors.
   */
  public FloorHistory floors() {
    return floors;
  }

  /**
   * Returns the highest number of connections to one member from all proxies.
   *
   * @return The number of connections.
   */
  int connectionLimit() {
    return connectionLimit;
  }

  /**
   * Takes the highest number of connections to one member from all proxies.
   *
   * @param limit The number of connections.
   */
  public void setConnectionLimit(int limit) {
    connectionLimit = limit;
  }

  /**
   * Takes a new or changed entry of a member.
   *
   * @param entry The entry.
   */
  public void put(MemberEntry entry) {
    Member known = members.get(entry.id());
    boolean sameRun = known != null && known.pool.entry().isSameIncarnation(entry);
    if (!entry.primary()) {
      claims.removeClaim(entry.id());
    } else if (!sameRun || !known.pool.entry().primary()) {
      claims.recordClaim(entry.id());
    }
    if (sameRun) {
      known.pool.update(entry);
      known.lostLeadUntil = context.loop().now();
      return;
    }
    if (known != null) {
      known.pool.retire();
    }
    Member added = new Member(new MemberPool(context, this, entry), context.loop().now());
    members.put(entry.id(), added);
    added.pool.warm();
  }

  /**
   * Removes a member.
   *
   * @param id The identifier of the member.
   */
  public void remove(String id) {
    Member known = members.remove(id);
    claims.removeClaim(id);
    if (known != null) {
      known.pool.retire();
    }
  }

  /** Notes that neither the primary nor enough other proxies answer this process. */
  public void noteCutOff() {
    cutOffUntil = context.loop().now() + CUT_OFF_MILLIS * NANOS_IN_MILLI;
  }

  /**
   * Checks if a statement for the primary had better be sent to another proxy.
   *
   * @return {@code true} if this process is cut off from the primary and from most proxies.
   */
  public boolean isCutOff() {
    return cutOffUntil - context.loop().now() > 0;
  }

  /**
   * Returns the pools of all members.
   *
   * @return The pools.
   */
  public Collection<MemberPool> pools() {
    return members.values().stream().map(member -> member.pool).toList();
  }

  /**
   * Finds the pool of a member.
   *
   * @param id The identifier of the member.
   * @return The pool or an empty optional if there is no such member.
   */
  public Optional<MemberPool> pool(String id) {
    return Optional.ofNullable(members.get(id)).map(member -> member.pool);
  }

  /**
   * Finds the member that leads as far as it is known.
   *
   * @return The pool of the primary or an empty optional if no member is known to lead.
   */
  public Optional<MemberPool> primary() {
    long now = context.loop().now();
    return leaders()
        .filter(member -> member.lostLeadUntil - now <= 0)
        .map(member -> member.pool)
        .findFirst();
  }

  /**
   * Finds the member that claims the lead most recently, whether it serves or not.
   *
   * @return The pool of the member or an empty optional if none claims the lead.
   */
  public Optional<MemberPool> claimedPrimary() {
    return leaders().map(member -> member.pool).findFirst();
  }

  /**
   * Returns the term of the leader if it proved its lead.
   *
   * @return The term or an empty optional if the lead is only claimed.
   */
  public OptionalLong provenTerm() {
    return claims.isLatestProven() ? OptionalLong.of(claims.provenTerm()) : OptionalLong.empty();
  }

  /**
   * Notes that a member proved its lead.
   *
   * @param id The identifier of the member.
   * @param term The term that it leads.
   * @param source How it became known.
   * @return {@code true} if this is news.
   */
  public boolean notePrimary(String id, long term, String source) {
    Member member = members.get(id);
    if (member == null || !claims.recordProof(id, term)) {
      return false;
    }
    member.lostLeadUntil = context.loop().now();
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
   * Returns the members that are said to lead.
   *
   * @return The members, the one that was learnt last first.
   */
  private Stream<Member> leaders() {
    return claims.byRecency().stream().map(members::get).filter(Objects::nonNull);
  }

  /**
   * Finds the member that is to answer a read that any fresh log may answer.
   *
   * @param excluded The identifiers of members that are not to be used.
   * @return The pool of the member or an empty optional if none is usable.
   */
  public Optional<MemberPool> selectReader(Set<String> excluded) {
    return members.values().stream()
        .map(member -> member.pool)
        .filter(pool -> pool.isUsable())
        .filter(pool -> !excluded.contains(pool.entry().id()))
        .min(Comparator.comparingDouble(this::estimate));
  }

  /**
   * Notes that a member answered that it does not lead.
   *
   * @param pool The pool of the member.
   */
  public void noteNotPrimary(MemberPool pool) {
    Member member = members.get(pool.entry().id());
    boolean news = member != null && member.lostLeadUntil - context.loop().now() <= 0;
    if (news && member.pool == pool) {
      member.lostLeadUntil = context.loop().now() + LOST_LEAD_MILLIS * NANOS_IN_MILLI;
      context
          .log()
          .event("member-lost-lead")
          .with("member", pool.entry().id())
          .with("pool", pool.entry().pool())
          .write();
      onDoubt(pool, "the primary lost the lead");
    }
  }

  /**
   * Adds a floor from an answer that proves the lead of a member.
   *
   * @param asked The moment at which the statement was sent.
   * @param position The position of the member's log.
   */
  public void addFloor(ClockReading asked, LogPosition position) {
    floors.add(asked, position);
  }

  /**
   * Asks for a fresh floor and runs an action once it came or can't be had.
   *
   * <p>All that wait share one empty transaction at the primary, which takes none of its slots.
   * Other proxies are asked too if no connection to the primary is free.
   *
   * @param action The action.
   */
  public void awaitFloor(Runnable action) {
    floorWaiters.add(action);
    if (askingPrimary) {
      return;
    }
    Optional<MemberPool> primary = primary().filter(MemberPool::isReachable);
    if (primary.isEmpty() || primary.get().counts().idle() == 0) {
      floorQuestions.accept(this);
    }
    if (primary.isPresent()) {
      askingPrimary = true;
      primary.get().queries().askPosition(FLOOR_MILLIS, this::onPrimaryAnswer);
    } else {
      context.loop().schedule(FLOOR_MILLIS, this::runFloorWaiters);
    }
  }

  /**
   * Adds a floor of another proxy.
   *
   * @param floor The floor on the clocks of this proxy.
   */
  public void onPeerFloor(FloorHistory.Floor floor) {
    floors.add(floor.asked(), floor.position());
    runFloorWaiters();
  }

  /**
   * Handles the answer of the primary to the question for its position.
   *
   * @param answer The answer or an empty optional if none came in time.
   */
  private void onPrimaryAnswer(Optional<MemberResponse> answer) {
    askingPrimary = false;
    if (answer.isPresent() && answer.get() instanceof MemberResponse.Done done) {
      done.position().ifPresent(position -> addFloor(done.asked(), position));
    }
    runFloorWaiters();
  }

  /** Runs what waits for a floor. */
  private void runFloorWaiters() {
    List<Runnable> waiters = List.copyOf(floorWaiters);
    floorWaiters.clear();
    waiters.forEach(Runnable::run);
  }

  /** Closes idle connections that are not needed and opens those that are to be kept. */
  public void maintainConnections() {
    members.values().forEach(member -> member.pool.closeIdle());
    members.values().stream()
        .map(member -> member.pool)
        .filter(MemberPool::isDirectlyReachable)
        .forEach(MemberPool::warm);
  }

  /**
   * Handles a member that was reached again.
   *
   * @param pool The pool of the member.
   */
  void onReachable(MemberPool pool) {
    context
        .log()
        .event("member-reachable")
        .with("member", pool.entry().id())
        .with("pool", pool.entry().pool())
        .write();
  }

  /**
   * Handles a member that does not answer.
   *
   * @param pool The pool of the member.
   * @param reason What was seen.
   */
  void onDoubt(MemberPool pool, String reason) {
    context.metrics().counter("member_doubts", "pool", pool.entry().pool()).inc();
    if (claimedPrimary().filter(pool::equals).isPresent()) {
      doubts.accept(pool.entry().pool(), reason);
    }
  }

  /**
   * Estimates the cost of a statement at a member.
   *
   * @param pool The pool of the member.
   * @return The cost in nanoseconds, with a penalty for the distance.
   */
  private double estimate(MemberPool pool) {
    String domain = pool.entry().domain();
    double penalty = 0;
    if (!context.isSameRegion(domain)) {
      penalty = FAR_PENALTY_NANOS;
    } else if (!domain.equals(context.domain())) {
      penalty = NEAR_PENALTY_NANOS;
    }
    return pool.expectedNanos() + penalty;
  }

  /** A member and what is known of its lead. */
  private static final class Member {

    /** The connections to the member. */
    private final MemberPool pool;

    /** The reading of the steady clock until which the member is not tried as primary. */
    private long lostLeadUntil;

    /**
     * Creates a new member.
     *
     * @param pool The connections to the member.
     * @param now The reading of the steady clock in nanoseconds.
     */
    private Member(MemberPool pool, long now) {
      this.pool = pool;
      lostLeadUntil = now;
    }
  }
}
