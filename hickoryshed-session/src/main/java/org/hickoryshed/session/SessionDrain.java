package org.hickoryshed.session;

import java.time.Duration;
import java.util.function.IntSupplier;

/**
 * Drains a session server within a grace period, so that every statement that it received has a
 * response.
 *
 * <ol>
 *   <li>For a while, new sessions may still arrive and are served.
 *   <li>Idle sessions are closed in several steps and the others as they become idle. Open
 *       transactions go on.
 *   <li>Once a further statement could outlast the grace period, but not before half of it, further
 *       statements are refused and idle transactions rolled back.
 *   <li>Shortly before the end, the statements that still run get a failure as their response.
 * </ol>
 */
public final class SessionDrain {

  /** How long new sessions may still arrive once the process is not ready, in milliseconds. */
  private static final long READINESS_DELAY_MILLIS = 2200;

  /** The number of steps in which idle sessions are closed, about the same number in each. */
  private static final int STEPS = 8;

  private static final long STEP_MILLIS = 150;

  /** How long before the end of the grace period the running statements are ended. */
  private static final long RESERVE_MILLIS = 500;

  /** The longest time to wait until the last responses are sent, in milliseconds. */
  private static final long FLUSH_MILLIS = 300;

  /** The interval at which the last responses are checked, in milliseconds. */
  private static final long FLUSH_POLL_MILLIS = 10;

  private final SessionServer server;

  private final IntSupplier lentConnections;

  private final long graceMillis;

  private final long startNanos = System.nanoTime();

  /** The part of the sessions that the next step closes, as a divisor of their number. */
  private int divisor = STEPS;

  /**
   * Creates a drain, whose grace period begins now.
   *
   * @param server The server whose sessions are closed.
   * @param lentConnections The number of connections that are lent to other proxies; called on the
   *     thread that runs the drain.
   * @param gracePeriod The time until the process ends.
   */
  public SessionDrain(SessionServer server, IntSupplier lentConnections, Duration gracePeriod) {
    this.server = server;
    this.lentConnections = lentConnections;
    graceMillis = gracePeriod.toMillis();
  }

  /**
   * Drains the server; blocks until all sessions are closed and all lent connections returned, or
   * the grace period is nearly over.
   *
   * @throws InterruptedException If the thread is interrupted; the sessions are not ended then.
   */
  public void run() throws InterruptedException {
    server.startDraining();
    Thread.sleep(Math.min(READINESS_DELAY_MILLIS, graceMillis / 2));
    closeIdleSessionsUntil(refusalMillis());
    server.refuseStatements();
    closeIdleSessionsUntil(graceMillis - RESERVE_MILLIS);
    server.finishSessions();
    awaitFlush();
  }

  /** Returns when further statements are refused, in milliseconds from the start. */
  private long refusalMillis() {
    long lastStart = graceMillis - RESERVE_MILLIS - server.longestStatementTimeout().toMillis();
    return Math.max(graceMillis / 2, lastStart);
  }

  /**
   * Closes idle sessions in steps, until none and no lent connection is left or a time has passed.
   *
   * @param endMillis The time in milliseconds from the start.
   */
  private void closeIdleSessionsUntil(long endMillis) throws InterruptedException {
    while (isBusy() && elapsedMillis() < endMillis) {
      server.closeIdleSessions(divisor);
      divisor = Math.max(1, divisor - 1);
      Thread.sleep(STEP_MILLIS);
    }
  }

  private void awaitFlush() throws InterruptedException {
    long end = elapsedMillis() + FLUSH_MILLIS;
    while (server.sessionCount() > 0 && elapsedMillis() < end) {
      Thread.sleep(FLUSH_POLL_MILLIS);
    }
  }

  private boolean isBusy() {
    return server.sessionCount() + lentConnections.getAsInt() > 0;
  }

  private long elapsedMillis() {
    return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
  }
}
