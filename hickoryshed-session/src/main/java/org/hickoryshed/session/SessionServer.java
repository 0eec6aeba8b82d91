package org.hickoryshed.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.caller.CallerSession;
import org.hickoryshed.session.caller.SessionContext;
import org.hickoryshed.session.directory.DirectoryListener;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.member.PoolCounts;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;
import org.tinylog.Logger;

/** Accepts the sessions of callers and knows the members that serve them. */
public final class SessionServer implements SessionContext, DirectoryListener {

  /** The time after which a member whose entry ended is no longer used, in milliseconds. */
  private static final long REMOVAL_DELAY_MILLIS = 2500;

  /** The pause between two looks for idle connections, in milliseconds. */
  private static final long HOUSEKEEPING_MILLIS = 1000;

  /** The highest number of bytes that wait to be sent to a caller. */
  private static final int CALLER_OUTPUT_BYTES = 12 * 1024 * 1024;

  /** What all pools share. */
  private final MemberContext context;

  /** The source of the highest number of sessions, which may change. */
  private final IntSupplier sessionLimit;

  /** The databases by the names of their pools. */
  private final Map<String, Database> databases = new HashMap<>();

  /** The entries of the members by their identifiers. */
  private final Map<String, MemberEntry> members = new HashMap<>();

  /** The identifiers of the members whose entries ended a moment ago. */
  private final Set<String> ending = new HashSet<>();

  /** The revision of the store that shows the last change of the members that is known. */
  private long memberVersion;

  /** The open sessions. */
  private final Set<CallerSession> sessions = new LinkedHashSet<>();

  /** The receiver of the pool whose primary is in doubt, and of the reason. */
  private BiConsumer<String, String> doubts = (pool, reason) -> {};

  /** Asks other proxies for a floor of a database, named by its pool. */
  private BiConsumer<String, Database> floorQuestions = (pool, database) -> {};

  /** Hears that a newer desired state or newer members are known. */
  private Runnable changes = () -> {};

  /** The desired state in force. */
  private volatile DesiredState desired = DesiredState.NONE;

  /** True while sessions can be served. */
  private volatile boolean serving;

  /** True once this process shuts down. */
  private volatile boolean draining;

  /** The connections to all members by their state, once a second, for other threads. */
  private volatile PoolCounts counts = PoolCounts.NONE;

  /** The number of open sessions, for other threads. */
  private volatile int sessionCount;

  /**
   * Creates a new server.
   *
   * @param context What all pools share.
   * @param sessionLimit The source of the highest number of sessions.
   */
  public SessionServer(MemberContext context, IntSupplier sessionLimit) {
    this.context = context;
    this.sessionLimit = sessionLimit;
    context.metrics().gauge("sessions", () -> sessionCount);
    context.metrics().gauge("desired_version", () -> desired.version());
    context.metrics().gauge("member_connections_idle", () -> counts.idle());
    context.metrics().gauge("member_connections_opening", () -> counts.opening());
    context.metrics().gauge("member_connections_lent", () -> counts.lent());
    context.metrics().gauge("member_statements_waiting", () -> counts.waiting());
    context.metrics().gauge("log_lines_dropped", () -> context.log().droppedLineCount());
  }

  /**
   * Starts to accept sessions.
   *
   * @param address The address to listen on.
   */
  public void listen(InetSocketAddress address) {
    loop().listen(address, this::accept);
    loop().schedule(HOUSEKEEPING_MILLIS, this::keepHouse);
  }

  /**
   * Takes the receiver of doubts about primaries, before the loop is started.
   *
   * @param receiver The receiver of the pool whose primary is in doubt, and of the reason.
   */
  public void setPrimarySuspicionListener(BiConsumer<String, String> receiver) {
    doubts = receiver;
  }

  /**
   * Takes what asks other proxies for floors, before the loop is started.
   *
   * @param questions Asks for a floor of a database, named by its pool.
   */
  public void setFloorRequester(BiConsumer<String, Database> questions) {
    floorQuestions = questions;
  }

  /**
   * Takes what hears that a newer desired state or newer members are known, before the loop is
   * started.
   *
   * @param receiver What hears of it.
   */
  public void setDirectoryChangeListener(Runnable receiver) {
    changes = receiver;
  }

  /**
   * Finds the database of a pool.
   *
   * @param pool The name of the pool.
   * @return The database or an empty optional if the pool has no members.
   */
  public Optional<Database> databaseOf(String pool) {
    return Optional.ofNullable(databases.get(pool));
  }

  /**
   * Returns the revision of the store that shows the last change of the members that is known.
   *
   * @return The revision, zero if no member is known.
   */
  public long memberVersion() {
    return memberVersion;
  }

  /**
   * Returns the members that are registered as far as is known.
   *
   * @return The members without those whose entries ended a moment ago.
   */
  public MemberList members() {
    return new MemberList(
        memberVersion,
        OptionalLong.of(memberVersion),
        members.values().stream().filter(entry -> !ending.contains(entry.id())).toList());
  }

  /**
   * Returns the names of the pools that have members.
   *
   * @return The names.
   */
  public List<String> poolNames() {
    return List.copyOf(databases.keySet());
  }

  /**
   * Checks if new sessions should come here.
   *
   * @return {@code true} if a desired state and a member are known and this process does not leave.
   */
  public boolean isReady() {
    return serving && !draining;
  }

  /**
   * Checks if this proxy is about to end.
   *
   * @return {@code true} once the shutdown began.
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Returns the number of open sessions.
   *
   * @return The number of sessions.
   */
  public int sessionCount() {
    return sessionCount;
  }

  /** Takes this process out of rotation; may be called by any thread. */
  public void startDraining() {
    draining = true;
  }

  /**
   * Closes sessions that are idle, and the others as soon as they are; may be called by any thread.
   *
   * @param part The part of the sessions to close, as a divisor of their number.
   */
  public void closeIdleSessions(int part) {
    loop()
        .submit(
            () ->
                List.copyOf(sessions).stream()
                    .limit((sessions.size() + part - 1) / part)
                    .forEach(CallerSession::closeWhenIdle));
  }

  @Override
  public EventLoop loop() {
    return context.loop();
  }

  @Override
  public WireFormat wireFormat() {
    return context.format();
  }

  @Override
  public EventLog log() {
    return context.log();
  }

  @Override
  public Metrics metrics() {
    return context.metrics();
  }

  @Override
  public DesiredState desired() {
    return desired;
  }

  @Override
  public Optional<Database> database(DatabaseRoute route) {
    return databaseOf(route.pool());
  }

  @Override
  public void onSessionEnded(CallerSession session) {
    sessions.remove(session);
    sessionCount = sessions.size();
  }

  @Override
  public void onDesiredState(DesiredState update) {
    loop().submit(() -> adopt(update));
  }

  @Override
  public void onMembers(MemberList update) {
    loop().submit(() -> replaceMembers(update));
  }

  @Override
  public void onMemberChanges(MemberChanges update) {
    loop()
        .submit(
            () -> {
              update.changed().forEach(this::putMember);
              update.ended().forEach(this::removeMemberLater);
              noteMemberVersion(update.version());
            });
  }

  /**
   * Accepts a session.
   *
   * @param channel The channel.
   */
  private void accept(SocketChannel channel) {
    CallerSession session = new CallerSession(this);
    try {
      if (sessions.size() >= sessionLimit.getAsInt()) {
        metrics().counter("sessions_refused", "reason", "limit").inc();
        channel.close();
        return;
      }
      Connection.Limits limits =
          new Connection.Limits(wireFormat().maxMessageBytes() + 2, CALLER_OUTPUT_BYTES);
      session.attach(loop().registerAccepted(channel, session, limits));
      sessions.add(session);
      sessionCount = sessions.size();
    } catch (IOException exception) {
      Logger.warn("a session ended while it was accepted: {}", exception.getMessage());
    }
  }

  /**
   * Adopts a desired state if it is newer.
   *
   * @param update The desired state.
   */
  private void adopt(DesiredState update) {
    if (!update.isNewerThan(desired)) {
      if (update.version() < desired.version()) {
        log()
            .event("desired-state-ignored")
            .with("version", update.version())
            .with("in-force", desired.version())
            .write();
      }
      return;
    }
    log()
        .event("desired-state-adopted")
        .with("version", update.version())
        .with("replaced", desired.version())
        .with("routes", update.routes().size())
        .write();
    desired = update;
    databases.forEach(this::limitConnections);
    updateServing();
    changes.run();
  }

  /**
   * Replaces all members unless a later list is known.
   *
   * @param update All members.
   */
  private void replaceMembers(MemberList update) {
    if (update.shown() < memberVersion) {
      return;
    }
    Set<String> present =
        update.entries().stream().map(MemberEntry::id).collect(Collectors.toSet());
    update.entries().forEach(this::putMember);
    Set<String> ended = new HashSet<>(members.keySet());
    ended.removeAll(present);
    ended.forEach(this::removeMemberLater);
    long latest = ended.isEmpty() ? update.highestRevision() : update.shown();
    noteMemberVersion(update.changed().orElse(latest));
  }

  /**
   * Notes the last change of the members that is known.
   *
   * @param version The revision of the store that shows it.
   */
  private void noteMemberVersion(long version) {
    if (version > memberVersion) {
      memberVersion = version;
      changes.run();
    }
  }

  /**
   * Takes a new or changed entry.
   *
   * @param entry The entry.
   */
  private void putMember(MemberEntry entry) {
    MemberEntry known = members.get(entry.id());
    ending.remove(entry.id());
    if (known != null && known.revision() >= entry.revision()) {
      return;
    }
    if (known != null && !known.pool().equals(entry.pool())) {
      removeMember(entry.id());
    }
    members.put(entry.id(), entry);
    log()
        .event("member-entry")
        .with("member", entry.id())
        .with("pool", entry.pool())
        .with("address", entry.address())
        .with("domain", entry.domain())
        .with("primary", entry.primary())
        .with("draining", entry.draining())
        .with("revision", entry.revision())
        .write();
    Database database =
        databases.computeIfAbsent(
            entry.pool(),
            pool -> {
              Database created =
                  new Database(
                      context,
                      (doubted, reason) -> doubts.accept(doubted, reason),
                      asking -> floorQuestions.accept(pool, asking));
              limitConnections(pool, created);
              return created;
            });
    database.put(entry);
    updateServing();
  }

  /**
   * Removes a member unless its entry is back in time.
   *
   * @param id The identifier of the member.
   */
  private void removeMemberLater(String id) {
    if (members.containsKey(id) && ending.add(id)) {
      loop()
          .schedule(
              REMOVAL_DELAY_MILLIS,
              () -> {
                if (ending.remove(id)) {
                  removeMember(id);
                }
              });
    }
  }

  /**
   * Removes a member.
   *
   * @param id The identifier of the member.
   */
  private void removeMember(String id) {
    MemberEntry gone = members.remove(id);
    if (gone != null) {
      log().event("member-gone").with("member", id).with("pool", gone.pool()).write();
      Optional.ofNullable(databases.get(gone.pool())).ifPresent(database -> database.remove(id));
    }
  }

  /**
   * Applies the number of connections of a pool.
   *
   * @param pool The name of the pool.
   * @param database The database.
   */
  private void limitConnections(String pool, Database database) {
    Optional.ofNullable(desired.pools().get(pool))
        .ifPresent(entry -> database.setConnectionLimit(entry.connections()));
  }

  /** Finds out whether sessions can be served. */
  private void updateServing() {
    serving =
        desired.version() > 0
            && databases.values().stream()
                .flatMap(database -> database.pools().stream())
                .anyMatch(MemberPool::isReachable);
  }

  /** Closes idle connections and looks at the readiness again. */
  private void keepHouse() {
    databases.values().forEach(Database::maintainConnections);
    counts =
        databases.values().stream()
            .flatMap(database -> database.pools().stream())
            .map(MemberPool::counts)
            .reduce(PoolCounts.NONE, PoolCounts::plus);
    updateServing();
    loop().schedule(HOUSEKEEPING_MILLIS, this::keepHouse);
  }
}
