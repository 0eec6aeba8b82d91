package org.hickoryshed.session.member;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.sharing.ConnectionShare;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * The connection pool of one member, with the queue of statements that wait for a connection.
 *
 * <p>The pool also tracks whether this process reaches the member. After a failure it reconnects
 * with a growing pause, tells the waiting statements to choose another member, and reports the
 * failure to the {@link Database}, which passes it on if this member is the primary. While the
 * member refuses connections, the pool shrinks to its fair share so that other proxies get theirs.
 *
 * <p>Only the thread of the event loop may call a pool, its connections and its database.
 */
public final class MemberConnectionPool {

  /** A new connection that is not ready after this time is closed. */
  private static final long OPEN_TIMEOUT_MILLIS = 700;

  /** Idle connections beyond the number to keep are closed after this time. */
  private static final long IDLE_TIMEOUT_MILLIS = 1500;

  /** A member that sends no response for this time plus a round trip after a BEGIN is suspected. */
  private static final long SUSPECT_AFTER_MILLIS = 110;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MemberContext context;
  private final Database database;

  /** All connections: idle, lent and being opened. */
  private final List<DirectConnection> connections = new ArrayList<>();

  private final IdleConnections idle = new IdleConnections();
  private final BorrowerQueue waiting = new BorrowerQueue();
  private final MemberHealth health;
  private final MemberTraffic traffic;
  private final ConnectBackoff backoff;
  private MemberEntry entry;

  /** The number of connections that are being opened. */
  private int opening;

  /** The number of statements that use, or wait for, a connection of another proxy. */
  private int relayed;

  /** True once the member was removed or replaced by a new incarnation. */
  private boolean retired;

  MemberConnectionPool(MemberContext context, Database database, MemberEntry entry) {
    this.context = context;
    this.database = database;
    this.entry = entry;
    backoff = new ConnectBackoff(context.loop().now());
    health = new MemberHealth(context.loop().now(), context.oneWayLatencyMillis(entry.domain()));
    traffic = new MemberTraffic(context, entry, connectionLimit(), this::serveWaiting);
  }

  /** Returns the sender of the proxy's own requests to the member. */
  public MemberRequests requests() {
    return new MemberRequests(context, this);
  }

  /** Returns the directory entry of the member, as of its last update. */
  public MemberEntry entry() {
    return entry;
  }

  /** Replaces the directory entry by a newer one of the same incarnation of the member. */
  void update(MemberEntry changed) {
    entry = changed;
    traffic.resize(changed.slots(), connectionLimit());
  }

  /**
   * Opens a connection if the pool has fewer than it keeps open while idle.
   *
   * <p>They save the time to connect, and their loss shows at once that a member is gone.
   */
  void openKeptConnection() {
    if (opening == 0
        && backoff.mayConnect(context.loop().now())
        && connections.size() < context.connectionSharing().share(this).openedAhead()) {
      openConnection(Optional.empty());
    }
  }

  /**
   * Checks if new statements may be sent to the member.
   *
   * @return {@code true} if the member is registered, is reachable, is not draining and did not
   *     recently lack a required log position.
   */
  public boolean isUsable() {
    return isReachable() && !retired && !entry.draining() && !health.isBehind(context.loop().now());
  }

  /** Checks if this process reaches the member, directly or through another proxy. */
  public boolean isReachable() {
    return isDirectlyReachable() || context.connectionSharing().isReachableThroughPeer(this);
  }

  /**
   * Checks if this process reaches the member without another proxy.
   *
   * @return {@code false} from a failure on until the member accepts a connection again.
   */
  public boolean isDirectlyReachable() {
    return health.isReachable();
  }

  /** Returns the maximum number of connections to the member, over all proxies. */
  public int connectionLimit() {
    return database.connectionLimit();
  }

  /**
   * Records that the member's log lacked a position that a statement required.
   *
   * @param pauseMillis How long other members are preferred, in milliseconds.
   */
  public void markBehind(long pauseMillis) {
    health.markBehind(context.loop().now(), pauseMillis);
  }

  /** Returns the log position in the member's latest message that carried one. */
  public LogPosition position() {
    return traffic.position();
  }

  /** Returns the mean time from a statement to its response. */
  double meanResponseNanos() {
    return health.meanResponseNanos();
  }

  /** Returns the number of statements that use or wait for a connection to the member. */
  public int busyCount() {
    return connections.size() - idle.size() - opening + waiting.size() + relayed;
  }

  /** Returns the record of the statements at the member. */
  public MemberTraffic traffic() {
    return traffic;
  }

  /** Checks if statements that another member can serve are better sent there. */
  public boolean prefersOther() {
    return traffic.prefersOther(waiting.size());
  }

  /**
   * Lends a connection of this process or of another proxy to a statement.
   *
   * <p>The borrower is called back when a connection is free, possibly before this method returns,
   * or when the member becomes unreachable.
   */
  public void borrow(Borrower borrower) {
    if (idle.hasFor(borrower) || !context.connectionSharing().borrow(this, borrower)) {
      borrowDirectly(borrower);
    }
  }

  /** Lends like {@link #borrow(Borrower)}, but only a connection of this process. */
  public void borrowDirectly(Borrower borrower) {
    Optional<DirectConnection> found =
        borrower.isOfProxy() || mayLend() ? idle.take(borrower) : Optional.empty();
    if (found.isPresent()) {
      lend(found.get(), borrower);
      return;
    }
    waiting.add(borrower, context.loop().now());
    openIfNeeded();
  }

  /**
   * Lends a connection of this process that is opened now. The unused connections are closed, since
   * they may have gone silent without a sign.
   */
  void borrowNew(Borrower borrower) {
    List<DirectConnection> unused =
        connections.stream().filter(DirectConnection::isUnused).toList();
    unused.forEach(connection -> connection.abort("may have gone silent"));
    borrowDirectly(borrower);
    reconnect();
  }

  /** Withdraws the request of a borrower that still waits for a connection. */
  public void cancel(Borrower borrower) {
    if (!context.connectionSharing().cancel(borrower)) {
      waiting.remove(borrower);
    }
  }

  /**
   * Adjusts the number of statements that use, or wait for, a connection of another proxy.
   *
   * @param change What to add to the number; negative when statements end.
   */
  public void countRelayed(int change) {
    relayed += change;
  }

  /**
   * Handles a statement that timed out.
   *
   * <p>The member counts as unreachable if it sent no other response since the attempt began.
   *
   * @param since When the attempt began, in nanoseconds of the monotonic clock.
   */
  public void onStatementTimeout(long since) {
    traffic.onTimeout();
    if (!health.hasRespondedSince(since)) {
      markUnreachable("no response in time");
    }
  }

  /**
   * Reports the member as suspected if it sends no response within the time of a BEGIN, which does
   * no work that could take longer.
   */
  void watchForResponse() {
    long since = context.loop().now();
    context
        .loop()
        .scheduleTimeout(
            SUSPECT_AFTER_MILLIS + 2 * context.oneWayLatencyMillis(entry.domain()),
            () -> {
              if (!health.hasRespondedSince(since) && isDirectlyReachable() && !retired) {
                database.onSuspected(this, "no response after BEGIN");
              }
            });
  }

  /** Returns the number of connections in each state and of waiting statements. */
  public ConnectionCounts counts() {
    int lent = connections.size() - idle.size() - opening;
    return new ConnectionCounts(idle.size(), opening, lent, waiting.size());
  }

  /** Closes idle connections that exceed this proxy's share or were idle for too long. */
  void closeIdle() {
    long now = context.loop().now();
    ConnectionShare share = context.connectionSharing().share(this);
    int allowed = backoff.isContended(now) ? share.maxWhileRefused() : share.max();
    for (DirectConnection connection : idle.all()) {
      boolean expired = now - connection.idleSince() > IDLE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
      if (connections.size() > allowed || (connections.size() > share.keptIdle() && expired)) {
        connection.abort("idle");
      }
    }
  }

  /**
   * Stops using the member after it was removed or restarted; lent connections stay open until they
   * are released.
   */
  void retire() {
    retired = true;
    idle.all().forEach(connection -> connection.abort("the member was removed"));
    failWaiting();
  }

  /** Handles a new connection that the member accepted. */
  void onOpened(DirectConnection connection) {
    opening--;
    backoff.onOpened();
    if (health.markReachable()) {
      database.onReachable(this);
    }
    onReleased(connection);
  }

  /**
   * Handles a member's refusal of a new connection.
   *
   * @param text The member's error message.
   */
  void onOpenRefused(FailureKind kind, String text) {
    long pause = backoff.onRefused(context.loop().now());
    context.metrics().counter("member_refusals", "kind", kind.name()).inc();
    if (kind == FailureKind.CONNECTION_LIMIT) {
      if (!backoff.isContended(context.loop().now())) {
        context.connectionSharing().announceContention(this);
      }
      onContention();
    }
    if (kind == FailureKind.WRONG_MEMBER) {
      markUnreachable("the address belongs to another member: " + text);
    } else {
      context.loop().schedule(pause, this::openIfNeeded);
    }
  }

  /**
   * Handles the end of a connection.
   *
   * @param opened True if the member had accepted it.
   * @param reason Why it ended; a reason that starts with "refused" was reported by {@link
   *     #onOpenRefused} before.
   */
  void onConnectionClosed(DirectConnection connection, boolean opened, String reason) {
    connections.remove(connection);
    idle.remove(connection);
    if (!opened) {
      opening--;
      if (!reason.startsWith("refused")) {
        markUnreachable(reason);
      }
    }
    if (!retired && isDirectlyReachable()) {
      lendIdle();
      openKeptConnection();
    }
  }

  /** Lends a free connection to the next waiting statement, keeps it idle or closes it. */
  void onReleased(DirectConnection connection) {
    if (retired) {
      connection.abort("the member was removed");
      return;
    }
    if (backoff.isContended(context.loop().now())
        && connections.size() > context.connectionSharing().share(this).maxWhileRefused()) {
      connection.abort("closed in favor of other proxies");
      return;
    }
    if (opening == 0
        && connections.size() >= maxConnections()
        && waiting.isPassedOver(connection.workspace(), context.loop().now())) {
      // The end of the connection opens one for the statement that waits.
      connection.abort("closed in favor of another workspace");
      return;
    }
    idle.add(connection);
    lendIdle();
  }

  /** Serves the statements that waited until the member has room, as many as there is room for. */
  void serveWaiting() {
    if (!retired && database.readers().isEven()) {
      lendIdle();
    }
  }

  /** Lends idle connections to waiting statements; opens connections for those that lack one. */
  private void lendIdle() {
    if (waiting.size() > 0) {
      waiting.serve(idle, () -> !mayLend(), MemberConnectionPool::lend);
      openIfNeeded();
    }
  }

  /** Checks if the member has room for one more statement of this process. */
  private boolean mayLend() {
    return !database.readers().isEven() || traffic.mayLend();
  }

  /** Handles the log position in a message of the member. */
  public void onPosition(LogPosition reported) {
    traffic.onPosition(reported);
    database.floors().observeTerm(reported.term());
  }

  /**
   * Handles a response of the member.
   *
   * @param nanos The time since its statement was sent, in nanoseconds.
   */
  public void onResponse(long nanos) {
    health.recordResponse(context.loop().now(), nanos);
  }

  private static void lend(DirectConnection connection, Borrower borrower) {
    connection.lend(borrower);
    borrower.onConnection(connection);
  }

  /**
   * Opens connections until as many are being opened as statements wait, within the share. At the
   * share, the connection that was idle for the longest time makes room.
   */
  private void openIfNeeded() {
    if (waiting.size() == 0) {
      return;
    }
    int limit = backoff.wasLastRefused() ? 1 : waiting.size();
    int max = maxConnections();
    while (!retired
        && isDirectlyReachable()
        && mayLend()
        && limit > opening
        && (connections.size() < max || idle.size() > 0)
        && backoff.mayConnect(context.loop().now())) {
      Optional<Borrower> next = waiting.firstWithoutOpening(connections);
      if (next.isEmpty()) {
        return;
      }
      if (connections.size() >= max) {
        // The end of a connection calls this method again, which opens the next one.
        idle.oldest().abort("closed in favor of another workspace");
      } else if (!openConnection(next.get().workspace())) {
        return;
      }
    }
  }

  private int maxConnections() {
    ConnectionShare share = context.connectionSharing().share(this);
    return backoff.isContended(context.loop().now()) ? share.maxWhileRefused() : share.max();
  }

  /**
   * Shrinks the pool to its fair share for a while.
   *
   * <p>Called when the member refused a connection of this or another proxy because it has reached
   * its limit.
   */
  public void onContention() {
    backoff.markContended(context.loop().now());
    closeIdle();
  }

  /**
   * Starts to open a connection.
   *
   * @param workspace The workspace that it is for, empty to open it in the name of this proxy.
   * @return {@code false} if it failed at once.
   */
  private boolean openConnection(Optional<String> workspace) {
    DirectConnection connection = new DirectConnection(this, workspace, context);
    connections.add(connection);
    opening++;
    context.metrics().counter("member_connections", "domain", entry.domain()).inc();
    try {
      connection.open(
          context
              .loop()
              .connect(
                  new InetSocketAddress(entry.host(), entry.port()),
                  connection,
                  context.bufferLimits()),
          context.processName());
    } catch (IOException exception) {
      onConnectionClosed(connection, false, String.valueOf(exception.getMessage()));
      return false;
    }
    context
        .loop()
        .scheduleTimeout(
            OPEN_TIMEOUT_MILLIS,
            () -> {
              if (!connection.isOpened()) {
                connection.abort("connection not ready in time");
              }
            });
    return true;
  }

  /** Treats the member as unreachable until it accepts a connection, and retries later. */
  private void markUnreachable(String reason) {
    if (retired) {
      return;
    }
    boolean wasReachable = isDirectlyReachable();
    long retryMillis = health.markUnreachable();
    if (wasReachable) {
      context
          .log()
          .event("member-unreachable")
          .with("member", entry.id())
          .with("pool", entry.pool())
          .with("reason", reason)
          .write();
      database.onSuspected(this, reason);
      failWaiting();
    }
    context.loop().schedule(retryMillis, this::reconnect);
  }

  /** Opens a connection to a member that counts as unreachable. */
  void reconnect() {
    if (!retired && !isDirectlyReachable() && opening == 0) {
      openConnection(Optional.empty());
    }
  }

  /** Tells the waiting statements to choose another member. */
  private void failWaiting() {
    waiting.drain().forEach(Borrower::onUnavailable);
  }
}
