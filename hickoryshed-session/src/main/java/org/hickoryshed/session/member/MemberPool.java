package org.hickoryshed.session.member;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.sharing.ConnectionShare;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;

/** The connections to one member and the statements that wait for one. */
public final class MemberPool {

  /** The time in which a new connection must be ready, in milliseconds. */
  private static final long OPEN_TIMEOUT_MILLIS = 700;

  /** The time after which an idle connection beyond the kept ones is closed, in milliseconds. */
  private static final long IDLE_MILLIS = 1500;

  /** The time in which a member answers an empty statement, without the distance. */
  private static final long DOUBT_MILLIS = 110;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** What all pools share. */
  private final MemberContext context;

  /** The database that the member belongs to. */
  private final Database database;

  /** All connections, those that are being opened too. */
  private final List<DirectConnection> connections = new ArrayList<>();

  /** The connections that can be leased. */
  private final List<DirectConnection> idle = new ArrayList<>();

  /** The statements that wait for a connection. */
  private final BorrowerQueue waiting = new BorrowerQueue();

  /** What is known of the member from its answers. */
  private final MemberHealth health;

  /** What its refusals of new connections mean. */
  private final ConnectBackoff refusals;

  /** The entry of the member. */
  private MemberEntry entry;

  /** The number of connections that are being opened. */
  private int opening;

  /** The number of statements that use, or wait for, a connection of another proxy. */
  private int relayed;

  /** The last position of the member's log that it stated. */
  private LogPosition position = LogPosition.ORIGIN;

  /** True once the member is no longer used. */
  private boolean retired;

  /**
   * Creates a new pool.
   *
   * @param context What all pools share.
   * @param database The database that the member belongs to.
   * @param entry The entry of the member.
   */
  MemberPool(MemberContext context, Database database, MemberEntry entry) {
    this.context = context;
    this.database = database;
    this.entry = entry;
    refusals = new ConnectBackoff(context.loop().now());
    health = new MemberHealth(context.loop().now(), context.oneWayLatencyMillis(entry.domain()));
  }

  /**
   * Returns what asks the member on behalf of this proxy.
   *
   * @return The inquiry.
   */
  public MemberQueries queries() {
    return new MemberQueries(context, this);
  }

  /**
   * Returns the entry of the member.
   *
   * @return The entry.
   */
  public MemberEntry entry() {
    return entry;
  }

  /**
   * Takes a changed entry of the same run of the member.
   *
   * @param changed The changed entry.
   */
  void update(MemberEntry changed) {
    entry = changed;
  }

  /**
   * Opens one of the connections that are kept, so that statements do not wait for it and a member
   * that is gone is noticed.
   */
  void warm() {
    if (opening == 0
        && refusals.mayOpen(context.loop().now())
        && connections.size() < context.memberPaths().share(this).kept()) {
      openConnection();
    }
  }

  /**
   * Checks if statements may be sent to the member.
   *
   * @return {@code true} if the member is reachable, not behind and does not leave.
   */
  public boolean isUsable() {
    return isReachable() && !retired && !entry.draining() && !health.isBehind(context.loop().now());
  }

  /**
   * Checks if the member can be reached, be it through another proxy.
   *
   * @return {@code true} if the member is reachable.
   */
  public boolean isReachable() {
    return isDirectlyReachable() || context.memberPaths().isReachableThroughPeer(this);
  }

  /**
   * Checks if the member answered this process when it was last asked.
   *
   * @return {@code true} if the member is reachable from here.
   */
  public boolean isDirectlyReachable() {
    return health.isReachable();
  }

  /**
   * Returns the highest number of connections to the member from all proxies.
   *
   * @return The number of connections.
   */
  public int connectionLimit() {
    return database.connectionLimit();
  }

  /**
   * Notes that the member lacked a required position.
   *
   * @param pauseMillis The time for which other members are preferred, in milliseconds.
   */
  public void noteBehind(long pauseMillis) {
    health.noteBehind(context.loop().now(), pauseMillis);
  }

  /**
   * Returns the last position that the member stated.
   *
   * @return The position.
   */
  public LogPosition position() {
    return position;
  }

  /**
   * Estimates the time that a statement takes at this member.
   *
   * @return The time in nanoseconds.
   */
  double expectedNanos() {
    int busy = connections.size() - idle.size() - opening + waiting.size() + relayed;
    return health.meanAnswerNanos() * (1 + busy / (double) Math.max(1, entry.slots()));
  }

  /**
   * Lends a connection of this process or of another proxy, now or later.
   *
   * @param borrower The statement that needs a connection.
   */
  public void borrow(Borrower borrower) {
    if (!idle.isEmpty() || !context.memberPaths().borrow(this, borrower)) {
      borrowDirectly(borrower);
    }
  }

  /**
   * Lends a connection of this process, now or later.
   *
   * @param borrower The statement that needs a connection.
   */
  public void borrowDirectly(Borrower borrower) {
    DirectConnection found = takeIdle(borrower.session());
    if (found != null) {
      lend(found, borrower);
      return;
    }
    waiting.add(borrower);
    openIfNeeded();
  }

  /**
   * Takes a statement out of the queue.
   *
   * @param borrower The statement.
   */
  public void cancel(Borrower borrower) {
    if (!context.memberPaths().cancel(borrower)) {
      waiting.remove(borrower);
    }
  }

  /**
   * Counts the statements that use connections of other proxies.
   *
   * @param change The change of their number.
   */
  public void countRelayed(int change) {
    relayed += change;
  }

  /**
   * Notes that a statement was not answered in time.
   *
   * <p>If the member answered nothing else since, others are used until it takes a connection.
   *
   * @param since The reading of the steady clock when the attempt began, in nanoseconds.
   */
  public void noteTimeout(long since) {
    if (!health.hasAnsweredSince(since)) {
      markUnreachable("no answer in time");
    }
  }

  /** Raises a doubt if the member answers nothing for longer than an empty statement takes. */
  void watchForAnswer() {
    long since = context.loop().now();
    context
        .loop()
        .schedule(
            DOUBT_MILLIS + 2 * context.oneWayLatencyMillis(entry.domain()),
            () -> {
              if (!health.hasAnsweredSince(since) && isDirectlyReachable() && !retired) {
                database.onDoubt(this, "no answer to an empty statement");
              }
            });
  }

  /**
   * Counts the connections by their state, and what waits for one.
   *
   * @return The counts.
   */
  public PoolCounts counts() {
    int lent = connections.size() - idle.size() - opening;
    return new PoolCounts(idle.size(), opening, lent, waiting.size());
  }

  /** Closes idle connections that are not needed. */
  void closeIdle() {
    long now = context.loop().now();
    ConnectionShare share = context.memberPaths().share(this);
    int allowed = refusals.isContended(now) ? share.fair() : share.most();
    for (DirectConnection connection : List.copyOf(idle)) {
      boolean old = now - connection.idleSince() > IDLE_MILLIS * NANOS_IN_MILLI;
      if (connections.size() > allowed || (connections.size() > share.kept() && old)) {
        connection.abort("idle");
      }
    }
  }

  /** Ends the use of the member; leased connections go on until they are released. */
  void retire() {
    retired = true;
    List.copyOf(idle).forEach(connection -> connection.abort("the member is gone"));
    failWaiting();
  }

  /**
   * Handles a connection that the member took.
   *
   * @param connection The connection.
   */
  void onOpened(DirectConnection connection) {
    opening--;
    refusals.noteOpened();
    if (health.noteReachable()) {
      database.onReachable(this);
    }
    onReleased(connection);
  }

  /**
   * Handles the refusal of a new connection.
   *
   * @param kind How it was refused.
   * @param text The text of the member.
   */
  void onOpeningRefused(FailureKind kind, String text) {
    long pause = refusals.noteRefused(context.loop().now());
    context.metrics().counter("member_refusals", "kind", kind.name()).inc();
    if (kind == FailureKind.CONNECTION_LIMIT) {
      if (!refusals.isContended(context.loop().now())) {
        context.memberPaths().announceContention(this);
      }
      noteContention();
    }
    if (kind == FailureKind.WRONG_MEMBER) {
      markUnreachable("another member at this address: " + text);
    } else {
      context.loop().schedule(pause, this::openIfNeeded);
    }
  }

  /**
   * Handles the end of a connection.
   *
   * @param connection The connection.
   * @param opened True if the member had taken it.
   * @param reason What happened.
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
      openIfNeeded();
      warm();
    }
  }

  /**
   * Handles a connection that is free.
   *
   * @param connection The connection.
   */
  void onReleased(DirectConnection connection) {
    if (retired) {
      connection.abort("the member is gone");
      return;
    }
    if (refusals.isContended(context.loop().now())
        && connections.size() > context.memberPaths().share(this).fair()) {
      connection.abort("left to other proxies");
      return;
    }
    waiting.poll().ifPresentOrElse(next -> lend(connection, next), () -> idle.add(connection));
  }

  /**
   * Handles a position that the member stated.
   *
   * @param stated The position.
   */
  public void onPosition(LogPosition stated) {
    position = stated;
    database.floors().observeTerm(stated.term());
  }

  /**
   * Handles the time that an answer took.
   *
   * @param nanos The time in nanoseconds.
   */
  public void onResponse(long nanos) {
    health.noteAnswer(context.loop().now(), nanos);
  }

  /**
   * Lends a connection.
   *
   * @param connection The connection.
   * @param borrower The statement that needs it.
   */
  private static void lend(DirectConnection connection, Borrower borrower) {
    connection.lease(borrower);
    borrower.onConnection(connection);
  }

  /**
   * Takes an idle connection, preferably one that holds the values of the session.
   *
   * @param session The session.
   * @return The connection or {@code null} if none is idle.
   */
  private DirectConnection takeIdle(SessionState session) {
    for (int index = idle.size() - 1; index >= 0; index--) {
      if (idle.get(index).holdsValuesOf(session)) {
        return idle.remove(index);
      }
    }
    return idle.isEmpty() ? null : idle.remove(idle.size() - 1);
  }

  /** Opens connections while statements wait for more than are being opened. */
  private void openIfNeeded() {
    int limit = refusals.wasLastRefused() ? 1 : waiting.size();
    ConnectionShare share = context.memberPaths().share(this);
    int most = refusals.isContended(context.loop().now()) ? share.fair() : share.most();
    while (!retired
        && isDirectlyReachable()
        && limit > opening
        && connections.size() < most
        && refusals.mayOpen(context.loop().now())) {
      if (!openConnection()) {
        return;
      }
    }
  }

  /** Holds no more than a fair share for a while, since the member refuses new connections. */
  public void noteContention() {
    refusals.noteContention(context.loop().now());
    closeIdle();
  }

  /**
   * Opens a connection.
   *
   * @return {@code false} if it failed at once.
   */
  private boolean openConnection() {
    DirectConnection connection = new DirectConnection(this, context);
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
                  context.memberLimits()),
          context.processName());
    } catch (IOException exception) {
      onConnectionClosed(connection, false, String.valueOf(exception.getMessage()));
      return false;
    }
    context
        .loop()
        .schedule(
            OPEN_TIMEOUT_MILLIS,
            () -> {
              if (!connection.isOpened()) {
                connection.abort("not ready in time");
              }
            });
    return true;
  }

  /**
   * Stops sending statements to the member until it takes a connection.
   *
   * @param reason What happened.
   */
  private void markUnreachable(String reason) {
    if (retired) {
      return;
    }
    boolean wasReachable = isDirectlyReachable();
    long retryMillis = health.noteUnreachable();
    if (wasReachable) {
      context
          .log()
          .event("member-unreachable")
          .with("member", entry.id())
          .with("pool", entry.pool())
          .with("reason", reason)
          .write();
      database.onDoubt(this, reason);
      failWaiting();
    }
    context.loop().schedule(retryMillis, this::tryAgain);
  }

  /** Tries to reach a member that failed. */
  void tryAgain() {
    if (!retired && !isDirectlyReachable() && opening == 0) {
      openConnection();
    }
  }

  /** Tells the waiting statements to look for another member. */
  private void failWaiting() {
    waiting.drain().forEach(Borrower::onUnavailable);
  }
}
