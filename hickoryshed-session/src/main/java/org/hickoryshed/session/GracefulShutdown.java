package org.hickoryshed.session;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * The graceful end of a process: out of rotation at once, then its idle sessions are closed in
 * parts, then the others as they become idle, then the process ends, once other proxies have given
 * its connections back.
 */
public final class GracefulShutdown {

  /** The time until new sessions stay away, in milliseconds. */
  private static final long ROTATION_MILLIS = 2200;

  /** The number of steps in which idle sessions are closed. */
  private static final int STEPS = 8;

  /** The pause between two steps in milliseconds. */
  private static final long STEP_MILLIS = 150;

  /** The time that is kept free before the end of the grace, in milliseconds. */
  private static final long RESERVE_MILLIS = 500;

  /** The server. */
  private final SessionServer server;

  /** The number of connections that other proxies use. */
  private final IntSupplier lent;

  /** The log. */
  private final EventLog log;

  /** The source of the time between the request to stop and the end of the process. */
  private final Supplier<Duration> grace;

  /** True once the shutdown has started. */
  private final AtomicBoolean started = new AtomicBoolean();

  /**
   * Creates a new shutdown.
   *
   * @param server The server.
   * @param lent The number of connections that other proxies use.
   * @param log The log.
   * @param grace The source of the time between the request to stop and the end of the process.
   */
  public GracefulShutdown(
      SessionServer server, IntSupplier lent, EventLog log, Supplier<Duration> grace) {
    this.server = server;
    this.lent = lent;
    this.log = log;
    this.grace = grace;
  }

  /** Starts the shutdown; further calls have no effect. */
  public void start() {
    if (started.compareAndSet(false, true)) {
      server.startDraining();
      log.event("stop-requested").with("sessions", server.sessionCount()).write();
      Thread.ofPlatform().name("shutdown").start(this::run);
    }
  }

  /** Closes the sessions and ends the process. */
  private void run() {
    long end = System.nanoTime() + grace.get().toNanos() - RESERVE_MILLIS * 1_000_000;
    try {
      Thread.sleep(Math.min(ROTATION_MILLIS, grace.get().toMillis() / 2));
      for (int step = STEPS; step > 0; step--) {
        server.closeIdleSessions(step);
        Thread.sleep(STEP_MILLIS);
      }
      while (server.sessionCount() + lent.getAsInt() > 0 && System.nanoTime() - end < 0) {
        server.closeIdleSessions(1);
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    log.event("stop")
        .with("sessions-left", server.sessionCount())
        .with("loans-left", lent.getAsInt())
        .write();
    log.stop();
    System.exit(0);
  }
}
