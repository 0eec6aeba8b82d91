package org.hickoryshed.session;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Shuts the process down gracefully.
 *
 * <p>The process is reported as not ready at once, so that new sessions go elsewhere. After a while
 * its idle sessions are closed in several steps and the others as they become idle. The process
 * exits once all sessions are closed and other proxies have returned the connections that they
 * borrowed, or when the grace period is nearly over.
 */
public final class GracefulShutdown {

  /** How long new sessions may still arrive once the process is not ready, in milliseconds. */
  private static final long READINESS_DELAY_MILLIS = 2200;

  /** The number of steps in which idle sessions are closed, about the same number in each. */
  private static final int STEPS = 8;

  private static final long STEP_MILLIS = 150;

  /** How long before the end of the grace period it stops waiting, in milliseconds. */
  private static final long RESERVE_MILLIS = 500;

  private final SessionServer server;

  private final IntSupplier lentConnections;

  private final EventLog log;

  private final Supplier<Duration> gracePeriod;

  private final AtomicBoolean started = new AtomicBoolean();

  /**
   * Creates a shutdown that is not yet started.
   *
   * @param server The server whose sessions are closed.
   * @param lentConnections The number of connections that are lent to other proxies; called on the
   *     shutdown's thread.
   * @param log The log, which is stopped before the process exits.
   * @param gracePeriod The time between the request to stop and the end of the process, read when
   *     the shutdown starts.
   */
  public GracefulShutdown(
      SessionServer server,
      IntSupplier lentConnections,
      EventLog log,
      Supplier<Duration> gracePeriod) {
    this.server = server;
    this.lentConnections = lentConnections;
    this.log = log;
    this.gracePeriod = gracePeriod;
  }

  /**
   * Starts the shutdown on a thread of its own, which ends the process; may be called by any
   * thread. Further calls have no effect.
   */
  public void start() {
    if (started.compareAndSet(false, true)) {
      server.startDraining();
      log.event("stop-requested").with("sessions", server.sessionCount()).write();
      Thread.ofPlatform().name("shutdown").start(this::run);
    }
  }

  private void run() {
    long end = System.nanoTime() + gracePeriod.get().toNanos() - RESERVE_MILLIS * 1_000_000;
    try {
      Thread.sleep(Math.min(READINESS_DELAY_MILLIS, gracePeriod.get().toMillis() / 2));
      for (int step = STEPS; step > 0; step--) {
        server.closeIdleSessions(step);
        Thread.sleep(STEP_MILLIS);
      }
      while (server.sessionCount() + lentConnections.getAsInt() > 0
          && System.nanoTime() - end < 0) {
        server.closeIdleSessions(1);
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    log.event("stop")
        .with("sessions-left", server.sessionCount())
        .with("loans-left", lentConnections.getAsInt())
        .write();
    log.stop();
    System.exit(0);
  }
}
