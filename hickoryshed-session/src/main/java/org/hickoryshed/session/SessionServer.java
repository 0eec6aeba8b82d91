package org.hickoryshed.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.decision.quota.WorkspaceQuota;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.caller.CallerSession;
import org.hickoryshed.session.caller.SessionContext;
import org.hickoryshed.session.directory.DirectoryListener;
import org.hickoryshed.session.directory.RegisteredMembers;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.ConnectionCounts;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;

/**
 * Accepts the sessions of callers and maintains what they need: the desired state, and the
 * databases with their members.
 *
 * <p>Its state belongs to the event loop. A method may be called by other threads only if its
 * documentation says so.
 */
public final class SessionServer implements SessionContext, DirectoryListener {

  private static final long MAINTENANCE_INTERVAL_MILLIS = 1000;

  private final MemberContext context;

  /** The databases by the names of their pools. */
  private final Map<String, Database> databases = new HashMap<>();

  private final RegisteredMembers members;

  private final OpenSessions sessions;

  private BiConsumer<String, String> primarySuspicionListener = (pool, reason) -> {};

  private BiConsumer<String, Database> floorRequester = (pool, database) -> {};

  private Runnable directoryChangeListener = () -> {};

  private volatile DesiredState desired = DesiredState.NONE;

  /** True if a desired state is known and a member is reachable. */
  private volatile boolean canServe;

  private volatile boolean draining;

  /** The connections to all members by state, updated once a second for other threads. */
  private volatile ConnectionCounts connectionCounts = ConnectionCounts.NONE;

  private WorkspaceQuota quota = WorkspaceQuota.UNLIMITED;

  /**
   * Creates a server that does not listen yet and registers its gauges.
   *
   * @param context What the connections to all members share.
   * @param sessionLimit The highest number of open sessions, read for each new session.
   */
  public SessionServer(MemberContext context, IntSupplier sessionLimit) {
    this.context = context;
    members = new RegisteredMembers(context.loop(), new MemberListener());
    sessions = new OpenSessions(this, sessionLimit);
    context.metrics().registerGauge("sessions", sessions::count);
    context.metrics().registerGauge("desired_version", () -> desired.version());
    context.metrics().registerGauge("member_connections_idle", () -> connectionCounts.idle());
    context.metrics().registerGauge("member_connections_opening", () -> connectionCounts.opening());
    context.metrics().registerGauge("member_connections_lent", () -> connectionCounts.lent());
    context.metrics().registerGauge("member_statements_waiting", () -> connectionCounts.waiting());
    context.metrics().registerGauge("log_lines_dropped", () -> context.log().droppedLineCount());
  }

  /**
   * Starts to accept sessions and to maintain the connections to members; called before the event
   * loop is started.
   *
   * @param address The address to listen on.
   */
  public void listen(InetSocketAddress address) {
    loop().listen(address, sessions::accept);
    loop().scheduleEvery(MAINTENANCE_INTERVAL_MILLIS, this::runMaintenance);
  }

  /**
   * Sets the listener that is told when the primary of a pool may have failed; called before the
   * event loop is started.
   *
   * @param listener Receives the name of the pool and what was seen, on the event loop.
   */
  public void setPrimarySuspicionListener(BiConsumer<String, String> listener) {
    primarySuspicionListener = listener;
  }

  /**
   * Sets what requests a fresh floor of a database from other proxies: a log position that covers
   * every commit acknowledged before a known time. Called before the event loop is started.
   *
   * @param requester Receives the name of the pool and the database, on the event loop.
   */
  public void setFloorRequester(BiConsumer<String, Database> requester) {
    floorRequester = requester;
  }

  /**
   * Sets the quotas of the workspaces; called before the event loop is started.
   *
   * @param quota The quotas, called on the event loop.
   */
  public void setQuota(WorkspaceQuota quota) {
    this.quota = quota;
  }

  /**
   * Sets the listener that is told of each newer desired state and each newer version of the
   * members; called before the event loop is started.
   *
   * @param listener Runs on the event loop.
   */
  public void setDirectoryChangeListener(Runnable listener) {
    directoryChangeListener = listener;
  }

  /**
   * Finds the database of a pool.
   *
   * @param pool The name of the pool.
   * @return The database, empty if the pool never had a member.
   */
  public Optional<Database> databaseOf(String pool) {
    return Optional.ofNullable(databases.get(pool));
  }

  /**
   * Returns the version of the members that is known here.
   *
   * @return The revision of the store that shows the last known change, zero if none is known.
   */
  public long memberVersion() {
    return members.version();
  }

  /**
   * Returns the members that are registered, as far as this process knows.
   *
   * @return The list, without the members whose removal is pending.
   */
  public MemberList members() {
    return members.list();
  }

  /**
   * Returns the names of the pools that have, or had, members.
   *
   * @return A copy of the names.
   */
  public List<String> poolNames() {
    return List.copyOf(databases.keySet());
  }

  /**
   * Checks if new sessions should be directed to this process; may be called by any thread.
   *
   * @return {@code true} if a desired state is known, a member is reachable and the shutdown has
   *     not begun.
   */
  public boolean isReady() {
    return canServe && !draining;
  }

  /** Checks if the shutdown has begun; may be called by any thread. */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Returns the number of open sessions; may be called by any thread.
   *
   * @return The number of sessions.
   */
  public int sessionCount() {
    return sessions.count();
  }

  /**
   * Reports this process as not ready from now on, so that new sessions are directed elsewhere; may
   * be called by any thread. Sessions that arrive nevertheless are served.
   */
  public void startDraining() {
    draining = true;
  }

  /**
   * Asks a part of the sessions, the oldest ones, to close as soon as they are idle; may be called
   * by any thread.
   *
   * @param divisor The part as a divisor of the number of sessions: one stands for all of them.
   */
  public void closeIdleSessions(int divisor) {
    loop().submit(() -> sessions.closeIdle(divisor));
  }

  /**
   * Refuses the further statements of all sessions, those that arrive later included, and closes
   * each session as soon as it is idle; may be called by any thread.
   */
  public void refuseStatements() {
    loop().submit(sessions::refuseStatements);
  }

  /**
   * Ends all sessions now, with a response to each running statement; may be called by any thread.
   */
  public void finishSessions() {
    loop().submit(sessions::finish);
  }

  /**
   * Returns the longest time that a statement may take; may be called by any thread.
   *
   * @return The longest statement timeout of all routes, zero without a route.
   */
  public Duration longestStatementTimeout() {
    return Duration.ofMillis(
        desired.routes().values().stream()
            .mapToLong(DatabaseRoute::statementTimeoutMillis)
            .max()
            .orElse(0));
  }

  @Override
  public EventLoop loop() {
    return context.loop();
  }

  @Override
  public WireFormat wireFormat() {
    return context.wireFormat();
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
  public WorkspaceQuota quota() {
    return quota;
  }

  @Override
  public Optional<Database> database(DatabaseRoute route) {
    return databaseOf(route.pool());
  }

  @Override
  public void onSessionEnded(CallerSession session) {
    sessions.remove(session);
  }

  @Override
  public void onDesiredState(DesiredState update) {
    loop().submit(() -> applyDesiredState(update));
  }

  @Override
  public void onMembers(MemberList update) {
    loop().submit(() -> members.replace(update));
  }

  @Override
  public void onMemberChanges(MemberChanges update) {
    loop().submit(() -> members.apply(update));
  }

  /** Applies a desired state if it is newer than the one in force; an older one is logged. */
  private void applyDesiredState(DesiredState update) {
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
    databases.forEach(this::configure);
    sessions.checkIdentities();
    updateCanServe();
    directoryChangeListener.run();
  }

  /** Returns the database of a pool, which is created if it has none yet. */
  private Database databaseOrNew(String pool) {
    return databases.computeIfAbsent(
        pool,
        name -> {
          Database created =
              new Database(
                  context,
                  (suspected, reason) -> primarySuspicionListener.accept(suspected, reason),
                  requesting -> floorRequester.accept(name, requesting),
                  members::isRegistered);
          configure(name, created);
          return created;
        });
  }

  /** Applies the desired state to a database, if it has an entry for the pool. */
  private void configure(String pool, Database database) {
    Optional.ofNullable(desired.pools().get(pool)).ifPresent(database::configure);
  }

  /** Updates what {@link #isReady()} returns; called on the event loop. */
  public void updateCanServe() {
    canServe =
        desired.version() > 0
            && databases.values().stream()
                .flatMap(database -> database.connectionPools().stream())
                .anyMatch(MemberConnectionPool::isReachable)
            && (canServe
                || databases.values().stream().allMatch(known -> known.rights().isSettled()));
  }

  /** Closes surplus idle connections, opens missing ones and updates what other threads read. */
  private void runMaintenance() {
    databases.values().forEach(Database::maintainConnections);
    connectionCounts =
        databases.values().stream()
            .flatMap(database -> database.connectionPools().stream())
            .map(MemberConnectionPool::counts)
            .reduce(ConnectionCounts.NONE, ConnectionCounts::plus);
    updateCanServe();
  }

  /** Passes the changes of the members on to their databases. */
  private final class MemberListener implements RegisteredMembers.Listener {

    @Override
    public void onEntry(MemberEntry entry) {
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
      databaseOrNew(entry.pool()).put(entry);
      updateCanServe();
    }

    @Override
    public void onRemoved(MemberEntry entry) {
      log().event("member-gone").with("member", entry.id()).with("pool", entry.pool()).write();
      databaseOf(entry.pool()).ifPresent(database -> database.remove(entry.id()));
    }

    @Override
    public void onVersion() {
      directoryChangeListener.run();
    }
  }
}
